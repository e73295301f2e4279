package platform

import (
	"maps"
	"net/http"
	"strconv"
)

// headerEra is the header of all responses that states the era of the store.
const headerEra = "Store-Era"

// Backup is a copy of the store's objects.
type Backup struct {
	version uint64
	objects map[string]map[string]object
}

// Backup returns a copy of the objects as they are now.
func (s *Server) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{s.version, cloneObjects(s.objects)}
}

// Restore replaces the objects and the revision counter by those of a backup and begins a new era: changes since the
// backup are lost, leases too, and their revisions are given again. Watches from a later revision get a 410 response.
func (s *Server) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.objects = b.version, cloneObjects(b.objects)
	s.deleted = make(map[string]map[string]object)
	s.droppedThrough = min(s.droppedThrough, s.version)
	s.staleLists = make(map[string]snapshot)
	s.notifyWatches()
}

func cloneObjects(kinds map[string]map[string]object) map[string]map[string]object {
	out := make(map[string]map[string]object, len(kinds))
	for kind, objects := range kinds {
		out[kind] = maps.Clone(objects)
	}
	return out
}

// eraWriter adds the store's era to the header of a response when the response is written.
type eraWriter struct {
	http.ResponseWriter
	server *Server
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.server.mu.Lock()
	w.Header().Set(headerEra, strconv.FormatUint(w.server.era, 10))
	w.server.mu.Unlock()
	w.ResponseWriter.WriteHeader(status)
}
