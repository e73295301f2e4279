package config

import (
	"errors"
	"strings"
	"testing"

	"teaselgate/standin/bubble"
	standin "teaselgate/standin/platform"
)

func TestApplyEnforcesChangeRules(t *testing.T) {
	initialRules := guardedRules(accountLine("a", 1), poolLine("p", 1))
	aigerim, marat, olga := operatorPrivateKey("aigerim"), operatorPrivateKey("marat"), operatorPrivateKey("olga")
	rulesWithKey := guardedRules(accountLine("a", 1), poolLine("p", 1), keyLine("secret", "a"))
	for _, c := range []struct {
		name, rules string
		by          string
		privateKey  []byte
		approvals   map[string][]byte // private keys of the approving operators, by name
		want        string            // part of the error, or empty for accepted
	}{
		{"kind without change rule", strings.Replace(initialRules, "slots: 1", "slots: 2", 1), "anybody", nil, nil, ""},
		{"allowed operator", strings.Replace(initialRules, "rate: 1", "rate: 2", 1), "aigerim", aigerim, nil, ""},
		{"operator not allowed", strings.Replace(initialRules, "rate: 1", "rate: 2", 1), "marat", marat, nil, `operator "marat" may not change rules of kind account`},
		{"missing signature", strings.Replace(initialRules, "rate: 1", "rate: 2", 1), "aigerim", nil, nil, `the signature of operator "aigerim" is missing or not valid`},
		{"signature by another operator", strings.Replace(initialRules, "rate: 1", "rate: 2", 1), "aigerim", marat, nil, `the signature of operator "aigerim" is missing or not valid`},
		{"missing approval", rulesWithKey, "olga", olga, nil, "needs 1 approvals by others"},
		{"approval by the requesting operator", rulesWithKey, "olga", olga, map[string][]byte{"olga": olga}, "needs 1 approvals by others"},
		{"forged approval", rulesWithKey, "olga", olga, map[string][]byte{"marat": olga}, "needs 1 approvals by others"},
		{"valid approval", rulesWithKey, "olga", olga, map[string][]byte{"marat": marat}, ""},
		{
			"change rule replaced without approval",
			strings.Replace(initialRules, "change: account, by: [aigerim]", "change: account, by: [marat]", 1),
			"marat", marat, nil, "needs 1 approvals by others",
		},
		{
			"change rule replaced by operator not allowed",
			strings.Replace(initialRules, "change: account, by: [aigerim]", "change: account, by: [marat]", 1),
			"olga", olga,
			map[string][]byte{"marat": marat},
			`may not change rules of kind change`,
		},
		{
			"operator's public key replaced without approval",
			strings.Replace(initialRules, operatorLine("marat"), strings.Replace(operatorLine("olga"), "operator: olga", "operator: marat", 1), 1),
			"aigerim", aigerim, nil, "needs 1 approvals by others",
		},
	} {
		server := newPlatformStandIn()
		client := newPlatformClient(server, neverCut)
		mustApply(t, client, ChangeRequest{Rules: mustParse(t, initialRules)})
		request := ChangeRequest{Rules: mustParse(t, c.rules), By: c.by, PrivateKey: c.privateKey}
		plan, err := NewPlan(t.Context(), client, request.Rules, c.by, nil)
		if err != nil {
			t.Fatal(err)
		}
		for name, privateKey := range c.approvals {
			request.Approvals = append(request.Approvals, plan.Approve(name, privateKey))
		}
		result, err := NewWriter(client).Apply(t.Context(), request)
		if c.want == "" {
			if err != nil || result.Outcome != Accepted || result.Revision != 2 {
				t.Errorf("%s: unexpected result, got %v %v instead of accepted as revision 2", c.name, result, err)
			}
			continue
		}
		if !errors.Is(err, ErrRefused) || result.Outcome != Refused || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: unexpected result, got %v %v instead of refused: %s", c.name, result.Outcome, err, c.want)
		}
		if _, head, _ := readHead(t.Context(), client); head.Revision != 1 {
			t.Errorf("%s: unexpected revision %d after a refused change instead of 1", c.name, head.Revision)
		}
	}
}

func TestApplyRefusesApprovalOfAnotherChange(t *testing.T) {
	client := newPlatformClient(newPlatformStandIn(), neverCut)
	initialRules := guardedRules(accountLine("a", 1))
	mustApply(t, client, ChangeRequest{Rules: mustParse(t, initialRules)})
	approvedRules := mustParse(t, initialRules+keyLine("one", "a"))
	plan, err := NewPlan(t.Context(), client, approvedRules, "olga", nil)
	if err != nil {
		t.Fatal(err)
	}
	request := ChangeRequest{
		Rules: mustParse(t, initialRules+keyLine("two", "a")), By: "olga", PrivateKey: operatorPrivateKey("olga"),
		Approvals: []SignedApproval{plan.Approve("marat", operatorPrivateKey("marat"))},
	}
	if result, err := NewWriter(client).Apply(t.Context(), request); !errors.Is(err, ErrRefused) {
		t.Errorf("unexpected result, got %v %v instead of refused", result, err)
	}
}

// TestApplyDoesNotRepeatAcceptedChange guards against the reuse of an old approval: after a key was added and removed,
// repeating the request that added it must not add it again.
func TestApplyDoesNotRepeatAcceptedChange(t *testing.T) {
	client := newPlatformClient(newPlatformStandIn(), neverCut)
	withoutKey := guardedRules(accountLine("a", 1))
	withKey := mustParse(t, withoutKey+keyLine("one", "a"))
	mustApply(t, client, ChangeRequest{Rules: mustParse(t, withoutKey)})
	addKey := ChangeRequest{Rules: withKey, By: "olga", PrivateKey: operatorPrivateKey("olga")}
	plan, err := NewPlan(t.Context(), client, withKey, "olga", nil)
	if err != nil {
		t.Fatal(err)
	}
	addKey.Approvals = []SignedApproval{plan.Approve("marat", operatorPrivateKey("marat"))}
	mustApply(t, client, addKey)
	removeKey := ChangeRequest{Rules: mustParse(t, withoutKey), By: "marat", PrivateKey: operatorPrivateKey("marat")}
	plan, err = NewPlan(t.Context(), client, removeKey.Rules, "marat", nil)
	if err != nil {
		t.Fatal(err)
	}
	removeKey.Approvals = []SignedApproval{plan.Approve("olga", operatorPrivateKey("olga"))}
	mustApply(t, client, removeKey)
	result, err := NewWriter(client).Apply(t.Context(), addKey)
	if err != nil || result.Revision != 2 {
		t.Errorf("unexpected result of the repeated request, got %v %v instead of accepted as revision 2", result, err)
	}
	_, current, err := readCurrent(t.Context(), client)
	if err != nil || current.Number != 3 || len(current.Rules.Lines()) != len(mustParse(t, withoutKey).Lines()) {
		t.Errorf("unexpected newest revision %v %v: the removed key is back", current, err)
	}
}

func TestApplyMergesConcurrentChangesAndRefusesConflicts(t *testing.T) {
	client := newPlatformClient(newPlatformStandIn(), neverCut)
	mustApply(t, client, ChangeRequest{Rules: mustParse(t, poolLine("p", 1)+poolLine("q", 1))})
	request := ChangeRequest{By: "a", Base: new(uint64(1))}
	mustApply(t, client, ChangeRequest{Rules: mustParse(t, poolLine("p", 2)+poolLine("q", 1)), By: "b"})
	request.Rules = mustParse(t, poolLine("p", 1)+poolLine("q", 2))
	mustApply(t, client, request)
	_, current, err := readCurrent(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	p, _ := current.Rules.Pool("p")
	q, _ := current.Rules.Pool("q")
	if current.Number != 3 || p.Slots != 2 || q.Slots != 2 {
		t.Errorf("unexpected rules at revision %d: p %d, q %d instead of 2 and 2", current.Number, p.Slots, q.Slots)
	}
	request.Rules = mustParse(t, poolLine("p", 3)+poolLine("q", 1))
	result, err := NewWriter(client).Apply(t.Context(), request)
	if result.Outcome != Refused || err == nil || !strings.Contains(err.Error(), "1 rules changed since the base revision") {
		t.Errorf("unexpected result, got %v %v instead of refused for 1 line", result, err)
	}
}

func TestApplyResolvesWriteWithLostResponse(t *testing.T) {
	for lostResponses := 1; lostResponses <= 4; lostResponses++ {
		bubble.Test(t, func(t *testing.T) {
			server := newPlatformStandIn()
			client := newPlatformClient(server, neverCut)
			server.SetFaults(standin.Faults{LoseWriteResponses: lostResponses})
			rules := mustParse(t, poolLine("p", lostResponses))
			result := mustApply(t, client, ChangeRequest{Rules: rules, By: "a"})
			if result.Outcome != Accepted || result.Revision != 1 {
				t.Errorf("unexpected result, got %v instead of accepted as revision 1", result)
			}
			repeated := mustApply(t, client, ChangeRequest{Rules: rules, By: "a"})
			if repeated.Revision != 1 || repeated.Lines != 0 {
				t.Errorf("unexpected result of the repeated request, got %v instead of revision 1 unchanged", repeated)
			}
		})
	}
}

func TestApplyReportsUnknownWhenOutageFollowsLostResponse(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		server := newPlatformStandIn()
		client := newPlatformClient(server, neverCut)
		responseLost := false
		client.HTTP.Transport = &writeHookTransport{next: client.HTTP.Transport, afterWrite: func(path string) error {
			if !strings.HasSuffix(path, "/"+HeadKind) { // path of the request that creates the first head
				return nil
			}
			responseLost = true
			server.SetFaults(standin.Faults{Outage: true})
			return errConnectionCut
		}}
		request := ChangeRequest{Rules: mustParse(t, poolLine("p", 1)), By: "a"}
		result, err := NewWriter(client).Apply(t.Context(), request)
		if !responseLost || result.Outcome != Unknown || !errors.Is(err, ErrUnknown) {
			t.Errorf("unexpected result, got %v %v instead of unknown", result, err)
		}
		server.SetFaults(standin.Faults{})
		if result := mustApply(t, newPlatformClient(server, neverCut), request); result.Revision != 1 {
			t.Errorf("unexpected result of the repeated request, got %v instead of revision 1", result)
		}
	})
}

func TestApplyReportsRefusedWhenPlatformIsDown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		server := newPlatformStandIn()
		server.SetFaults(standin.Faults{Outage: true})
		client := newPlatformClient(server, neverCut)
		result, err := NewWriter(client).Apply(t.Context(), ChangeRequest{Rules: mustParse(t, poolLine("p", 1))})
		if result.Outcome != Refused || !errors.Is(err, ErrRefused) {
			t.Errorf("unexpected result, got %v %v instead of refused", result, err)
		}
	})
}
