package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/core/reach"
	"yuccausher/internal/core/route"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
	"yuccausher/internal/standin/replica"
	"yuccausher/internal/upstream"
	"yuccausher/platform"
)

// The keys of the organisations in tests, and a path of a public route.
const (
	keyA, secondKeyA, keyB, commonKey = "key-a-1", "key-a-2", "key-b-1", "key-of-two"

	public = "/public/x"
)

// member returns an organisation with keys.
func member(name string, keys ...string) route.Member {
	return route.Member{Organisation: route.Organisation{Name: name}, Keys: keys}
}

// withOrganisations applies the next version of the configuration, with some organisations.
func (s *fixture) withOrganisations(members ...route.Member) *fixture {
	s.t.Helper()
	d := document()
	d.Version = s.tables.Current().Version + 1
	d.Organisations = members
	d.Routes = append(d.Routes,
		route.Route{Name: "public", Host: "a.example", Prefix: "/public/", Kind: route.Idempotent, IsPublic: true, Timeout: 5 * time.Second, Objective: time.Second, Attempts: 2, Shares: wholeShare(app)},
		route.Route{Name: "public-talk", Host: "a.example", Prefix: "/talk/public/", Kind: route.Stream, IsPublic: true, Timeout: 2 * time.Second, Objective: time.Second, Attempts: 2, Shares: wholeShare(models), KeepsConversations: true, Retention: time.Minute})
	if !s.tables.StoreIfNewer(route.NewTable(d)) {
		s.t.Fatal("version was not applied")
	}
	return s
}

func bearer(keys ...string) http.Header {
	h := http.Header{}
	for _, key := range keys {
		h.Add("Authorization", "Bearer "+key)
	}
	return h
}

// withKey returns a header with a key added.
func withKey(h http.Header, key string) http.Header {
	h.Set("Authorization", "Bearer "+key)
	return h
}

// A request that can't be attributed to one organisation must not reach a target.
func TestRequestsWithoutAValidKeyAreRefused(t *testing.T) {
	s := newFixture(t).withOrganisations(member("a", keyA, secondKeyA, commonKey), member("b", keyB, commonKey))
	s.add(app, replica.Options{ID: "r"})
	for name, c := range map[string]struct {
		header http.Header
		status int
	}{
		"key":                   {bearer(keyA), http.StatusOK},
		"other key":             {bearer(secondKeyA), http.StatusOK},
		"key of another":        {bearer(keyB), http.StatusOK},
		"key twice":             {bearer(keyA, keyA), http.StatusOK},
		"scheme in lower case":  {http.Header{"Authorization": {"bearer  " + keyA}}, http.StatusOK},
		"another scheme beside": {http.Header{"Authorization": {"Basic x", "Bearer " + keyA}}, http.StatusOK},
		"no key":                {http.Header{}, http.StatusUnauthorized},
		"unknown key":           {bearer("key-a"), http.StatusUnauthorized},
		"longer key":            {bearer(keyA + "1"), http.StatusUnauthorized},
		"empty key":             {bearer(""), http.StatusUnauthorized},
		"key without scheme":    {http.Header{"Authorization": {keyA}}, http.StatusUnauthorized},
		"another scheme":        {http.Header{"Authorization": {"Basic " + keyA}}, http.StatusUnauthorized},
		"name in place of key":  {bearer("a"), http.StatusUnauthorized},
		"tenant without key":    {http.Header{"Tenant": {"a"}}, http.StatusUnauthorized},
		"unknown key beside":    {bearer(keyA, "unknown"), http.StatusUnauthorized},
		"two organisations":     {bearer(keyA, keyB), http.StatusUnauthorized},
		"too many keys":         {bearer(slices.Repeat([]string{keyA}, 100)...), http.StatusUnauthorized},
		"key of two":            {bearer(commonKey), http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id := strings.ReplaceAll(name, " ", "-")
			a := s.mustSend(request{path: lookup, id: id, header: c.header})
			is.Equal(a.status, c.status)
			isRefused := c.status == http.StatusUnauthorized
			is.Equal(s.runsOf(id) == 0, isRefused)
			is.Equal(a.header.Get("WWW-Authenticate") != "", isRefused)
		})
	}
}

// Targets must learn the organisation from the host only, and keys not at all.
func TestTargetsGetTheOrganisationInPlaceOfTheKey(t *testing.T) {
	for name, lines := range map[string][]string{
		"plain":             {"Authorization: Bearer " + keyA},
		"other case":        {"aUTHORIZATION: Bearer " + keyA, "tENANT: b", "TENANT: b"},
		"repeated":          {"Authorization: Bearer " + keyA, "authorization: Bearer " + keyA, "Tenant: b", "Tenant: c"},
		"named as hop":      {"Authorization: Bearer " + keyA, "Connection: Authorization, Tenant, Expect-Instance", "Tenant: b"},
		"named twice":       {"Authorization: Bearer " + keyA, "Connection: close", "Connection: tenant,authorization"},
		"folded":            {"Authorization: Bearer", " " + keyA, "Tenant: b"},
		"other separators":  {"Authorization: Bearer " + keyA, "Tenant_: b", "_tenant: b", "Ten-ant: b", "Author-ization: Bearer " + keyA, "AUTHORIZATION_: Bearer " + keyA},
		"another scheme":    {"Authorization: Bearer " + keyA, "Authorization: Basic " + keyA},
		"proxy credentials": {"Authorization: Bearer " + keyA, "Proxy-Authorization: Bearer " + keyA},
		"trailer":           {"Authorization: Bearer " + keyA, "Trailer: Authorization, Tenant"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t).withOrganisations(member("a", keyA), member("b", keyB))
			r := s.add(app, replica.Options{ID: "r"})
			for path, tenant := range map[string][]string{lookup: {"a"}, public: nil} {
				response := s.sendRaw("GET " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: x\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n")
				is.Equal(response.StatusCode, http.StatusOK)
				runs := r.Runs()
				got := runs[len(runs)-1].Header
				is.Equal(got["Tenant"], tenant)
				is.True(!strings.Contains(fmt.Sprint(got), keyA))
				for field := range got {
					folded := strings.ToLower(strings.Trim(field, "_"))
					is.True(folded != "tenant" || field == "Tenant")
				}
			}
		})
	}
}

// Deployments without organisations forward these fields as callers send them.
func TestWithoutOrganisationsHeadersAreForwarded(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r := s.add(app, replica.Options{ID: "r"})
	h := bearer("anything")
	h.Set("Tenant", "b")
	is.Equal(s.mustSend(request{path: lookup, id: "x", header: h}).status, http.StatusOK)
	got := r.Runs()[0].Header
	is.Equal(got.Get("Authorization"), "Bearer anything")
	is.Equal(got.Get("Tenant"), "b")
}

// A key is looked up for each request: a connection that was opened with a key must not outlive it.
func TestKeysFollowTheConfigurationOnOpenConnections(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).withOrganisations(member("a", keyA))
	s.add(app, replica.Options{ID: "r"})
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	answers := bufio.NewReader(c)
	ask := func(key string) int {
		_, err := io.WriteString(c, "GET "+lookup+" HTTP/1.1\r\nHost: a.example\r\nRequest-Id: x\r\nAuthorization: Bearer "+key+"\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		return response.StatusCode
	}
	is.Equal(ask(keyA), http.StatusOK)
	is.Equal(ask(secondKeyA), http.StatusUnauthorized)
	s.withOrganisations(member("a", secondKeyA))
	is.Equal(ask(keyA), http.StatusUnauthorized)
	is.Equal(ask(secondKeyA), http.StatusOK)
	// An older version that arrives late must not bring the removed key back.
	old := document()
	old.Organisations = []route.Member{member("a", keyA)}
	is.True(!s.tables.StoreIfNewer(route.NewTable(old)))
	is.Equal(ask(keyA), http.StatusUnauthorized)
}

// A caller without a key must not make the host wait for, or hold, the body of its request.
func TestUnknownKeyIsRefusedBeforeTheBody(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).withOrganisations(member("a", keyA))
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(2 * time.Second)))
	_, err = io.WriteString(c, "POST "+posting+" HTTP/1.1\r\nHost: a.example\r\nRequest-Id: x\r\nContent-Length: 1000\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusUnauthorized)
}

// A host that has just started knows no key yet and must not call one unknown.
func TestHostWithoutConfigurationRefusesNoKey(t *testing.T) {
	is := is.New(t)
	p := gateway.Params{Protocol: platform.Headers{}, Tables: &route.Holder{}, Pool: upstream.NewPool(tally.NoopScope), TargetsReadAt: func() time.Time { return time.Time{} }, Scope: tally.NoopScope}
	w := httptest.NewRecorder()
	gateway.New(p).ServeHTTP(w, httptest.NewRequest(http.MethodGet, lookup, nil))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(w.Header().Get("Retry-After") != "")
}

// levelPlace records the urgency of the requests that it places.
type levelPlace struct {
	firstPlace
	levels []int
}

func (p *levelPlace) Place(ctx context.Context, r gateway.PlaceRequest) gateway.Place {
	p.levels = append(p.levels, r.Level)
	return p.firstPlace.Place(ctx, r)
}

// The priority of an organisation decides before that of the route and the time left of a program.
func TestPriorityOfTheOrganisationOverridesThatOfTheRoute(t *testing.T) {
	is := is.New(t)
	placement := &levelPlace{}
	s := newFixtureWithPlacement(t, placement)
	urgent, late := member("urgent", "u"), member("late", "l")
	urgent.HasPriority = true
	late.Priority, late.HasPriority = 3, true
	s.withOrganisations(urgent, late, member("by route", "r"))
	m := s.add(models, replica.Options{ID: "m1", Events: 1})
	for i, c := range []struct{ key, finish string }{{"u", "900000"}, {"l", "300"}, {"l", "900000"}, {"l", ""}, {"r", "300"}} {
		h := withKey(turnHeader("p"), c.key)
		if c.finish != "" {
			h.Set("Finish-Ms", c.finish)
		}
		is.Equal(s.mustSend(request{method: http.MethodPost, path: turns, id: fmt.Sprint(i), header: h}).status, http.StatusOK)
	}
	is.Equal(placement.levels, []int{0, 3, 3, 3, 0})
	var prios []string
	for _, run := range m.Runs() {
		is.Equal(len(run.Header["Prio"]), 1)
		prios = append(prios, run.Header.Get("Prio"))
	}
	urgentProgram, lateSoon, lateDistant, byRoute := prios[0], prios[1], prios[2], prios[4]
	is.True(byRoute <= urgentProgram && urgentProgram < lateSoon && lateSoon < lateDistant)
	is.True(lateDistant <= "9" && byRoute >= "0")
}

// A caller must not read the history of another organisation, nor learn that it exists.
func TestTurnsOfOtherOrganisationsAreUnknown(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).withOrganisations(member("a", keyA, secondKeyA), member("b", keyB))
	m := s.add(models, replica.Options{ID: "m1", Events: 1})
	ask := func(path, id, previous, key string) answer {
		h := turnHeader("p")
		if previous != "" {
			h.Set("Previous-Turn", previous)
		}
		if key != "" {
			withKey(h, key)
		}
		return s.mustSend(request{method: http.MethodPost, path: path, id: id, body: id + ";", header: h})
	}
	is.Equal(ask(conversationTurn, "t1", "", keyA).status, http.StatusOK)
	is.Equal(s.turnStore.turns["t1"].Last().Organisation, "a")
	of := ask(conversationTurn, "t2", "t1", keyB)
	unknown := ask(conversationTurn, "t3", "none", keyB)
	is.Equal(of.status, http.StatusNotFound)
	is.Equal(of.body, unknown.body)
	is.Equal(ask("/talk/public/x", "t4", "t1", "").status, http.StatusNotFound)
	is.Equal(s.runsOf("t2")+s.runsOf("t4"), 0)
	is.Equal(ask(conversationTurn, "t5", "t1", secondKeyA).status, http.StatusOK)
	is.Equal(m.Runs()[1].Body, "t1;part 1\nt5;")
	_, open := s.budgets.state()
	is.Equal(open, 0)

	// A 404 for a turn of the earlier build, which names no organisation, would lose it. What continues
	// it has an owner again.
	s.turnStore.turns["old"] = conversation.Chain{{ID: "old", Program: "p"}}
	is.Equal(ask(conversationTurn, "t6", "old", keyB).status, http.StatusOK)
	is.Equal(ask(conversationTurn, "t7", "old", keyA).status, http.StatusOK)
	is.Equal(ask(conversationTurn, "t8", "t6", keyA).status, http.StatusNotFound)
	// A host of the earlier build continues a turn without stating the organisation.
	s.turnStore.turns["mixed"] = conversation.Chain{s.turnStore.turns["t1"].Last(), {ID: "mixed", Previous: "t1", Program: "p"}}
	is.Equal(ask(conversationTurn, "t9", "mixed", keyB).status, http.StatusNotFound)
	is.Equal(ask(conversationTurn, "t10", "mixed", keyA).status, http.StatusOK)
	// Without organisations in the configuration there is nobody to keep a turn from.
	s.withOrganisations()
	is.Equal(ask(conversationTurn, "t11", "t1", "").status, http.StatusOK)
}

// A host of the earlier build sends the header of a request that it takes to a target as it is: the
// key must not be in it.
func TestRequestIsHandedOverWithItsOrganisationAndWithoutItsKey(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).withOrganisations(member("a", keyA))
	s.path.set(reach.CutOff)
	h := bearer(keyA)
	h.Set("Tenant", "b")
	s.mustSend(request{path: lookup, id: "x", header: h})
	s.mustSend(request{path: public, id: "y", header: h})
	is.Equal(len(s.others.offered), 2)
	for i, organisation := range []string{"a", ""} {
		offered := s.others.offered[i]
		is.True(offered.IsIdentified)
		is.Equal(offered.Organisation, organisation)
		is.Equal(offered.Header.Get("Tenant"), organisation)
		is.True(!strings.Contains(fmt.Sprint(offered.Header), keyA))
	}
	is.Equal(s.mustSend(request{path: lookup, id: "z"}).status, http.StatusUnauthorized)
	is.Equal(len(s.others.offered), 2)
	s.withOrganisations()
	s.mustSend(request{path: lookup, id: "w", header: h})
	is.True(!s.others.offered[2].IsIdentified)
	is.Equal(s.others.offered[2].Header.Get("Authorization"), "Bearer "+keyA)
}

// A host that takes a request must know its organisation, also if its configuration is of another
// version than that of the host that has checked the key.
func TestHostThatTakesARequestKnowsItsOrganisation(t *testing.T) {
	identified := func(name string) port.HandoverSender {
		return port.HandoverSender{Host: "b", IsIdentified: true, Organisation: name}
	}
	earlier := port.HandoverSender{Host: "b"}
	members := []route.Member{member("a", keyA)}
	for name, c := range map[string]struct {
		members []route.Member
		path    string
		from    port.HandoverSender
		header  http.Header
		status  int
		tenant  []string
	}{
		"identified":                  {members, lookup, identified("a"), http.Header{"Tenant": {"z"}}, http.StatusOK, []string{"a"}},
		"public":                      {members, public, identified(""), http.Header{"Tenant": {"z"}}, http.StatusOK, nil},
		"organisation of a version":   {members, lookup, identified("new"), http.Header{}, http.StatusServiceUnavailable, nil},
		"no longer public":            {members, lookup, identified(""), http.Header{}, http.StatusServiceUnavailable, nil},
		"version without any":         {nil, lookup, identified("a"), http.Header{"Tenant": {"z"}}, http.StatusOK, []string{"a"}},
		"earlier build":               {members, lookup, earlier, withKey(http.Header{"Tenant": {"z"}}, keyA), http.StatusOK, []string{"a"}},
		"earlier build, unknown key":  {members, lookup, earlier, bearer("none"), http.StatusUnauthorized, nil},
		"earlier build, no key":       {members, lookup, earlier, http.Header{"Tenant": {"a"}}, http.StatusUnauthorized, nil},
		"earlier build, public route": {members, public, earlier, withKey(http.Header{"Tenant": {"a"}}, keyA), http.StatusOK, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t).withOrganisations(c.members...)
			target := s.add(app, replica.Options{ID: "r"})
			r := httptest.NewRequest(http.MethodGet, c.path, nil)
			r.Host, r.Header = "a.example", c.header
			r.Header.Set("Request-Id", "x")
			w := httptest.NewRecorder()
			s.gateway.ServeHandover(w, r, c.from)
			is.Equal(w.Code, c.status)
			if c.status == http.StatusOK {
				got := target.Runs()[0].Header
				is.Equal(got["Tenant"], c.tenant)
				is.Equal(got["Authorization"], nil)
			}
			is.Equal(s.runsOf("x") == 0, c.status != http.StatusOK)
		})
	}
}

// Keys in logs or metrics would be readable for everyone who operates the hosts.
func TestLogsAndMetricsNameOrganisationsAndNoKeys(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var lines strings.Builder
	log := funcr.New(func(_, line string) {
		mu.Lock()
		defer mu.Unlock()
		lines.WriteString(line + "\n")
	}, funcr.Options{Verbosity: 9})
	scope := tally.NewTestScope("", nil)
	s := newFixtureWithLog(t, firstPlace{}, log, scope).withOrganisations(member("organisation-a", keyA, commonKey), member("organisation-b", keyB, commonKey))
	s.add(app, replica.Options{ID: "r"}).Fail(replica.Lost)
	s.mustSend(request{path: lookup, id: "x", header: bearer(keyA)})
	s.mustSend(request{path: lookup, id: "y", header: bearer(keyB, "unknown-key")})
	s.mustSend(request{path: lookup, id: "z", header: bearer(commonKey)})
	s.mustSend(request{path: "/none", id: "n", header: bearer(keyA)})
	s.path.set(reach.CutOff)
	s.mustSend(request{path: lookup, id: "o", header: bearer(keyB)})
	mu.Lock()
	defer mu.Unlock()
	text := lines.String()
	counts := map[string]int64{}
	for name, c := range scope.Snapshot().Counters() {
		text += name + "\n"
		counts[c.Name()+" "+c.Tags()["organisation"]] = c.Value()
	}
	for _, key := range []string{keyA, keyB, commonKey, "unknown-key"} {
		is.True(!strings.Contains(text, key))
	}
	is.True(strings.Contains(text, `"organisation"="organisation-a"`))
	is.Equal(counts["gateway.organisation_requests organisation-a"], int64(1))
	is.Equal(counts["gateway.organisation_requests organisation-b"], int64(1))
	is.Equal(counts["gateway.organisation_refusals organisation-b"], int64(1))
	is.Equal(counts["gateway.organisation_refusals organisation-a"], int64(0))
	is.Equal(counts["gateway.organisation_refusals _none"], int64(2))
}
