package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	standplatform "teaselgate/standin/platform"
)

// store is the platform's store.
type store struct {
	*standplatform.Server
	address string
	http    *http.Server
	silence *silence
}

// startStore starts a store without a token, as the deploy file has none.
func startStore() (*store, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	s := &store{Server: standplatform.NewServer(""), address: listener.Addr().String()}
	s.silence = &silence{next: s.Handler()}
	s.http = &http.Server{Handler: s.silence} //nolint:gosec // a stand-in for a trial
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// put creates or replaces an object.
func (s *store) put(kind, name string, spec any) error {
	body, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return err
	}
	status, err := s.call(http.MethodPut, "/-/objects/"+kind+"/"+name, body)
	if err == nil && status == http.StatusNotFound {
		status, err = s.call(http.MethodPost, "/-/objects/"+kind, body)
	}
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the store answered %d", status)
	}
	return err
}

func (s *store) call(method, path string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+s.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

func listen() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}
