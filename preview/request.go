package preview

import (
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace  = errorx.NewNamespace("preview")
	noRoute    = namespace.NewType("no_route")
	noAccount  = namespace.NewType("no_account")
	noHome     = namespace.NewType("no_home")
	badRequest = namespace.NewType("bad_request")

	// ErrNoRoute means that no route leads to the path.
	ErrNoRoute = noRoute.New("preview: no route leads to this host and path")
	// ErrNoAccount means that there is no client account with the name.
	ErrNoAccount = noAccount.New("preview: no client account has this name")
	// ErrNoHome means that no availability zone lies in the regions of both the route and the client account.
	ErrNoHome = noHome.New("preview: no availability zone in the regions of the route and the account")
	// ErrBadRequest means that a description can't be understood.
	ErrBadRequest = badRequest.NewWithNoMessage()
)

// Path is the path of previews at the admin listeners.
const Path = "/preview"

// Request describes a request that is not sent.
type Request struct {
	Host    string
	Path    string
	Account string        // name of the client account; empty for none
	Prompt  int           // tokens
	Output  int           // most tokens
	Left    time.Duration // time until the caller's deadline; 0 for the longest of the route
}

// Query returns the path and query that describe the request.
func (r Request) Query() string {
	v := url.Values{"host": {r.Host}, "path": {r.Path}, "account": {r.Account}}
	v.Set("prompt", strconv.Itoa(r.Prompt))
	v.Set("output", strconv.Itoa(r.Output))
	v.Set("left", r.Left.String())
	return Path + "?" + v.Encode()
}

// ParseQuery returns the request that a query describes.
func ParseQuery(v url.Values) (Request, error) {
	r := Request{Host: v.Get("host"), Path: v.Get("path"), Account: v.Get("account")}
	if r.Path == "" || r.Path[0] != '/' {
		return r, badRequest.New("preview: path: must begin with /")
	}
	for name, field := range map[string]*int{"prompt": &r.Prompt, "output": &r.Output} {
		n, err := strconv.Atoi(orZero(v.Get(name)))
		if err != nil || n < 0 {
			return r, badRequest.New("preview: %s: must be a number of tokens", name)
		}
		*field = n
	}
	left, err := time.ParseDuration(orZero(v.Get("left")))
	if err != nil || left < 0 {
		return r, badRequest.New("preview: left: must be a time such as 10s")
	}
	r.Left = left
	return r, nil
}

func orZero(s string) string {
	if s == "" {
		return "0"
	}
	return s
}
