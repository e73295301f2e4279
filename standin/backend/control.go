package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// serveControl serves calls that are not requests: reports, orders and the release of computed prompts.
func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	if handle, ok := strings.CutPrefix(r.URL.Path, "/-/kv-handle/"); ok && r.Method == http.MethodDelete {
		if !s.dropHandle(handle) {
			w.WriteHeader(http.StatusNotFound)
		}
		return
	}
	switch {
	case r.URL.Path == "/-/order" && r.Method == http.MethodPost:
		s.serveOrder(w, r)
	case r.URL.Path == "/-/report":
		s.serveReport(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveReport responds with a report that may be as old as ReportInterval.
func (s *Server) serveReport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.faults.NoReport {
		s.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	if s.lastReport == nil || now.Sub(s.lastReportTime) >= s.ReportInterval {
		s.lastReport, s.lastReportTime = s.newReport(now), now
	}
	report := s.lastReport
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(report) // the caller may be gone
}

// newReport encodes the current state as JSON; s.mu must be held.
func (s *Server) newReport(now time.Time) []byte {
	text, err := json.Marshal(map[string]any{
		"stage": s.currentStage, "active": s.usedSlots, "queued": s.queued, "kvUsed": s.usedTokens, "kvTotal": s.KVTokens,
		"sequence": s.stageChanges, "busy": now.Before(s.stageChangeEnd),
	})
	if err != nil {
		panic(fmt.Errorf("backend: unable to encode a report: %w", err))
	}
	return text
}

// serveOrder serves an order to change stage. Malformed orders and orders for another server are rejected.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"opcode"`
		Stage     string `json:"stage"`
		Holder    string `json:"holder"`
		Fence     uint64 `json:"fencingToken"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil ||
		order.Operation != "stage" || order.Holder == "" || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(headerExpectedServer); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.WriteHeader(s.applyOrder(order.Stage, order.Fence))
}

// NewStageOrder returns an HTTP request that orders an engine to change to a stage. Its host is a placeholder.
func NewStageOrder(ctx context.Context, stage, holder string, fence uint64) (*http.Request, error) {
	body := fmt.Sprintf(`{"opcode":"stage","stage":%q,"holder":%q,"fencingToken":%d}`, stage, holder, fence)
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://engine/-/order", strings.NewReader(body))
}

// applyOrder starts a stage change and returns the status to respond with. It starts none if an order with a higher
// fencing number has been carried out, a stage change is in progress, or the stage is the current one. Requests are
// rejected until the stage change ends.
func (s *Server) applyOrder(stage string, fence uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case fence < s.highestFence:
		return http.StatusPreconditionFailed
	case now.Before(s.stageChangeEnd):
		return http.StatusConflict
	}
	s.highestFence = fence
	if stage == s.currentStage {
		return http.StatusOK
	}
	s.currentStage, s.stageChangeEnd = stage, now.Add(s.StageChangeTime)
	s.stageChanges++
	return http.StatusAccepted
}

// CurrentStage returns the stage of the server; during a stage change, the new one.
func (s *Server) CurrentStage() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentStage
}
