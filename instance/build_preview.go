package instance

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"

	"teaselgate/entry"
	"teaselgate/forward"
	"teaselgate/preview"
)

// servePreview responds with where the described request would go now. It sends nothing.
func (i *Instance) servePreview(w http.ResponseWriter, r *http.Request) {
	described, err := preview.ParseQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	decide := (&entry.Previewer{Zone: i.Options.Zone, Rules: i.ruleSet, Place: i.placer.Preview, Slot: i.plain.Preview}).Preview
	if handler, ok := i.handler.(*forward.Handler); ok {
		decide = (&forward.Previewer{Handler: handler, Place: i.placer.Preview, Slot: i.slots.Preview}).Preview
	}
	decision, err := decide(r.Context(), described)
	switch {
	case errors.Is(err, preview.ErrNoRoute), errors.Is(err, preview.ErrNoAccount), errors.Is(err, preview.ErrNoHome):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	decision.By = cmp.Or(decision.By, i.Options.Name)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(decision)
}
