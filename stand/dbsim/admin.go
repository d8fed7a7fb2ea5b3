package dbsim

import (
	"encoding/json"
	"net/http"
)

// AdminHandler returns the HTTP handler of the admin port, which faults don't affect. POST
// /fault?name=NAME&value=VALUE calls Fault, GET /status returns Stats as JSON.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		if err := s.Fault(r.FormValue("name"), r.FormValue("value")); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Stats())
	})
	return mux
}
