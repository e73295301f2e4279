package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/standin/backend"
)

// setHomes has the routes and the account name regions that their requests may not leave. Zone a is in region almaty, zone b
// in astana.
func (env *testEnv) setHomes(route, account []string) {
	env.handler.Regions = map[string]string{"a": "almaty", "b": "astana"}
	for n := range env.configuration.Routes {
		env.configuration.Routes[n].Homes = route
	}
	env.configuration.Accounts[0].Homes = account
	env.updateView()
}

// Neither a request nor the memory of its prompt may leave its home regions, also not on a retry while servers at home fail.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	cases := []struct{ name, route, account string }{
		{"of the route", "almaty", ""}, {"of the account", "", "almaty"}, {"of both", "almaty", "almaty"},
	}
	list := func(region string) []string {
		if region == "" {
			return nil
		}
		return []string{region, "karaganda"}
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInTestEnv(t, func(env *testEnv) {
				env.splitZones()
				env.setHomes(list(c.route), list(c.account))
				abroad := []*backend.Server{env.plain[0], env.prefill[0], env.decode[0]}
				for n := range 20 {
					env.plain[1].SetFaults(backend.Faults{Reject: n%3 == 1})
					env.decode[1].SetFaults(backend.Faults{Reject: n%5 == 1})
					for name, request := range map[string]func(string) testRequest{
						"order": orderRequest, "status": statusRequest, "draft": draftRequest,
					} {
						resp := env.send(request(fmt.Sprint(name, n)))
						if n%3 != 1 && n%5 != 1 && resp.Code != http.StatusOK {
							t.Fatalf("%s %d got status %d, %v", name, n, resp.Code, env.recordedEvents(fmt.Sprint(name, n)))
						}
					}
					sleep(time.Second)
				}
				if n := countReceived(time.Time{}, abroad...); n > 0 {
					t.Errorf("servers in another region got %d requests", n)
				}
			})
		})
	}
}

// A request without a server at home must be refused at once, however many servers are free elsewhere.
func TestRequestWithoutServerAtHomeIsRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name           string
		route, account []string
		change         func(s *platform.Server)
	}{
		{"no server in the region", []string{"astana"}, nil, func(*platform.Server) {}},
		{"no region of both", []string{"almaty"}, []string{"astana"}, func(*platform.Server) {}},
		{"unknown region", []string{"oral"}, nil, func(*platform.Server) {}},
		{"home is evacuated", []string{"almaty"}, nil, func(s *platform.Server) { s.Evacuated = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInTestEnv(t, func(env *testEnv) {
				env.changeServers(c.change)
				env.setHomes(c.route, c.account)
				for _, req := range []testRequest{orderRequest("o"), statusRequest("s"), draftRequest("d")} {
					resp := env.send(req)
					if resp.Code != http.StatusServiceUnavailable || resp.took > 10*time.Millisecond {
						t.Errorf("%s: status %d after %v, %v", req.path, resp.Code, resp.took, env.recordedEvents(req.id))
					}
				}
			})
		})
	}
}
