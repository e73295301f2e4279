package config

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	standin "teaselgate/standin/platform"
)

func TestApplyTellsTheTruth(t *testing.T) {
	first := guardedRules(accountLine("a", 1), poolLine("p", 1))
	aigerim, marat, olga := operatorSecret("aigerim"), operatorSecret("marat"), operatorSecret("olga")
	newKey := guardedRules(accountLine("a", 1), poolLine("p", 1), keyLine("secret", "a"))
	for _, c := range []struct {
		name, rules string
		by          string
		secret      []byte
		approvals   map[string][]byte
		want        string // part of the error, or empty for accepted
	}{
		{"a kind without guard", strings.Replace(first, "slots: 1", "slots: 2", 1), "anybody", nil, nil, ""},
		{"the operator of the guard", strings.Replace(first, "rate: 1", "rate: 2", 1), "aigerim", aigerim, nil, ""},
		{"another operator", strings.Replace(first, "rate: 1", "rate: 2", 1), "marat", marat, nil, `operator "marat" may not change rules of kind account`},
		{"no signature", strings.Replace(first, "rate: 1", "rate: 2", 1), "aigerim", nil, nil, `the signature of operator "aigerim" is missing or not valid`},
		{"another's signature", strings.Replace(first, "rate: 1", "rate: 2", 1), "aigerim", marat, nil, `the signature of operator "aigerim" is missing or not valid`},
		{"no approval", newKey, "olga", olga, nil, "needs 1 approvals by others"},
		{"own approval", newKey, "olga", olga, map[string][]byte{"olga": olga}, "needs 1 approvals by others"},
		{"forged approval", newKey, "olga", olga, map[string][]byte{"marat": olga}, "needs 1 approvals by others"},
		{"approval", newKey, "olga", olga, map[string][]byte{"marat": marat}, ""},
		{"guard lifted alone", strings.Replace(first, "change: account, by: [aigerim]", "change: account, by: [marat]", 1), "marat", marat, nil, "needs 1 approvals by others"},
		{"guard lifted by one who may not", strings.Replace(first, "change: account, by: [aigerim]", "change: account, by: [marat]", 1), "olga", olga, map[string][]byte{"marat": marat}, `may not change rules of kind change`},
		{"operator's key replaced alone", strings.Replace(first, operatorLine("marat"), strings.Replace(operatorLine("olga"), "operator: olga", "operator: marat", 1), 1), "aigerim", aigerim, nil, "needs 1 approvals by others"},
	} {
		server := newStandin()
		client := newClient(server, connected)
		mustApply(t, client, ChangeRequest{Rules: parse(t, first)})
		request := ChangeRequest{Rules: parse(t, c.rules), By: c.by, PrivateKey: c.secret}
		plan, err := NewPlan(t.Context(), client, request.Rules, c.by, nil)
		if err != nil {
			t.Fatal(err)
		}
		for name, secret := range c.approvals {
			request.Approvals = append(request.Approvals, plan.Approve(name, secret))
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

func TestApplyRefusesAnApprovalOfAnotherChange(t *testing.T) {
	client := newClient(newStandin(), connected)
	first := guardedRules(accountLine("a", 1))
	mustApply(t, client, ChangeRequest{Rules: parse(t, first)})
	approved := parse(t, first+keyLine("one", "a"))
	plan, err := NewPlan(t.Context(), client, approved, "olga", nil)
	if err != nil {
		t.Fatal(err)
	}
	request := ChangeRequest{
		Rules: parse(t, first+keyLine("two", "a")), By: "olga", PrivateKey: operatorSecret("olga"),
		Approvals: []SignedApproval{plan.Approve("marat", operatorSecret("marat"))},
	}
	if result, err := NewWriter(client).Apply(t.Context(), request); !errors.Is(err, ErrRefused) {
		t.Errorf("unexpected result, got %v %v instead of refused", result, err)
	}
}

func TestApplyIsNeverRepeatedByAnOldApproval(t *testing.T) {
	client := newClient(newStandin(), connected)
	without := guardedRules(accountLine("a", 1))
	with := parse(t, without+keyLine("one", "a"))
	mustApply(t, client, ChangeRequest{Rules: parse(t, without)})
	give := ChangeRequest{Rules: with, By: "olga", PrivateKey: operatorSecret("olga")}
	plan, err := NewPlan(t.Context(), client, with, "olga", nil)
	if err != nil {
		t.Fatal(err)
	}
	give.Approvals = []SignedApproval{plan.Approve("marat", operatorSecret("marat"))}
	mustApply(t, client, give)
	withdraw := ChangeRequest{Rules: parse(t, without), By: "marat", PrivateKey: operatorSecret("marat")}
	plan, err = NewPlan(t.Context(), client, withdraw.Rules, "marat", nil)
	if err != nil {
		t.Fatal(err)
	}
	withdraw.Approvals = []SignedApproval{plan.Approve("olga", operatorSecret("olga"))}
	mustApply(t, client, withdraw)
	result, err := NewWriter(client).Apply(t.Context(), give)
	if err != nil || result.Revision != 2 {
		t.Errorf("unexpected result of the repeat, got %v %v instead of accepted as revision 2", result, err)
	}
	_, current, err := readCurrent(t.Context(), client)
	if err != nil || current.Number != 3 || len(current.Rules.Lines()) != len(parse(t, without).Lines()) {
		t.Errorf("unexpected newest revision %v %v: the withdrawn key is back", current, err)
	}
}

func TestApplyKeepsTheChangesOfRacingOperators(t *testing.T) {
	client := newClient(newStandin(), connected)
	mustApply(t, client, ChangeRequest{Rules: parse(t, poolLine("p", 1)+poolLine("q", 1))})
	base := ChangeRequest{By: "a", Base: new(uint64(1))}
	mustApply(t, client, ChangeRequest{Rules: parse(t, poolLine("p", 2)+poolLine("q", 1)), By: "b"})
	base.Rules = parse(t, poolLine("p", 1)+poolLine("q", 2))
	mustApply(t, client, base)
	_, current, err := readCurrent(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	p, _ := current.Rules.Pool("p")
	q, _ := current.Rules.Pool("q")
	if current.Number != 3 || p.Slots != 2 || q.Slots != 2 {
		t.Errorf("unexpected rules at revision %d: p %d, q %d instead of 2 and 2", current.Number, p.Slots, q.Slots)
	}
	base.Rules = parse(t, poolLine("p", 3)+poolLine("q", 1))
	result, err := NewWriter(client).Apply(t.Context(), base)
	if result.Outcome != Refused || err == nil || !strings.Contains(err.Error(), "somebody else changed 1 lines meanwhile") {
		t.Errorf("unexpected result, got %v %v instead of refused for 1 line", result, err)
	}
}

func TestApplyFindsOutWhatBecameOfALostWrite(t *testing.T) {
	for lost := 1; lost <= 4; lost++ {
		synctest.Test(t, func(t *testing.T) {
			server := newStandin()
			client := newClient(server, connected)
			server.SetFaults(standin.Faults{LoseWriteResponses: lost})
			rules := parse(t, poolLine("p", lost))
			result := mustApply(t, client, ChangeRequest{Rules: rules, By: "a"})
			if result.Outcome != Accepted || result.Revision != 1 {
				t.Errorf("unexpected result, got %v instead of accepted as revision 1", result)
			}
			again := mustApply(t, client, ChangeRequest{Rules: rules, By: "a"})
			if again.Revision != 1 || again.Lines != 0 {
				t.Errorf("unexpected result of the repeat, got %v instead of revision 1 unchanged", again)
			}
		})
	}
}

func TestApplyIsUnknownWhenTheOutageFollowsALostWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newStandin()
		client := newClient(server, connected)
		lost := false
		client.HTTP.Transport = &afterPut{direct: client.HTTP.Transport, do: func(path string) error {
			if !strings.HasSuffix(path, "/"+HeadKind) { // the first head is created in its kind
				return nil
			}
			lost = true
			server.SetFaults(standin.Faults{Outage: true})
			return errCut
		}}
		request := ChangeRequest{Rules: parse(t, poolLine("p", 1)), By: "a"}
		result, err := NewWriter(client).Apply(t.Context(), request)
		if !lost || result.Outcome != Unknown || !errors.Is(err, ErrUnknown) {
			t.Errorf("unexpected result, got %v %v instead of unknown", result, err)
		}
		server.SetFaults(standin.Faults{})
		if result := mustApply(t, newClient(server, connected), request); result.Revision != 1 {
			t.Errorf("unexpected result of the repeat, got %v instead of revision 1", result)
		}
	})
}

func TestApplyIsRefusedWhenThePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newStandin()
		server.SetFaults(standin.Faults{Outage: true})
		client := newClient(server, connected)
		result, err := NewWriter(client).Apply(t.Context(), ChangeRequest{Rules: parse(t, poolLine("p", 1))})
		if result.Outcome != Refused || !errors.Is(err, ErrRefused) {
			t.Errorf("unexpected result, got %v %v instead of refused", result, err)
		}
	})
}
