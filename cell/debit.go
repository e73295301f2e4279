package cell

import (
	"context"
	"sync"
	"time"

	"teaselgate/event"
	"teaselgate/rule"
)

// Timing of debits.
const (
	debitInterval = 250 * time.Millisecond
	debitTimeout  = 300 * time.Millisecond
)

// DebitReporter collects the tokens that requests to plain services charge to client accounts, reports them to the
// dispatcher that limits the accounts' rates, and rejects requests of accounts that are in debt there. Set the exported
// fields before calling Serve.
type DebitReporter struct {
	Placer *Placer
	Record func(event.Event)

	mu        sync.Mutex
	pending   map[string]*Debit    // debits not yet reported, by client account
	debtUntil map[string]time.Time // end of the debt, by client account
}

// NewDebitReporter returns a reporter without debits.
func NewDebitReporter(placer *Placer) *DebitReporter {
	return &DebitReporter{Placer: placer, pending: make(map[string]*Debit), debtUntil: make(map[string]time.Time)}
}

// Charge charges tokens to a client account. With ErrOverRate it returns the time after which to retry.
func (d *DebitReporter) Charge(debit Debit) (time.Time, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := d.debtUntil[debit.Account]; d.Placer.Hub.Now().Before(until) {
		return until, overRate.New("cell: account %s is over its rate: charge %d, in debt at the dispatcher for another %v",
			debit.Account, debit.Tokens, until.Sub(d.Placer.Hub.Now()).Round(time.Millisecond))
	}
	p, ok := d.pending[debit.Account]
	if !ok {
		p = &Debit{Account: debit.Account}
		d.pending[debit.Account] = p
	}
	p.Tokens += debit.Tokens
	p.Rate, p.Burst = debit.Rate, debit.Burst
	return time.Time{}, nil
}

// Serve reports the debits every debitInterval until the context ends.
func (d *DebitReporter) Serve(ctx context.Context) error {
	tick := time.NewTicker(debitInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			d.report(ctx)
		}
	}
}

func (d *DebitReporter) report(ctx context.Context) {
	id, ok := rateLimitCell(d.Placer.Hub.Rules())
	debits := d.takePending()
	if !ok || len(debits) == 0 {
		return
	}
	ctx, stop := context.WithTimeout(ctx, debitTimeout)
	defer stop()
	reply, err := d.Placer.sendDebits(ctx, DebitArgs{Cell: id, Debits: debits})
	if err != nil {
		d.Record(event.Event{Code: event.DebitFailed, Detail: err.Error()})
		return
	}
	d.recordDebts(debits, reply.Debts)
}

// takePending returns the debits that are not reported yet, and clears them.
func (d *DebitReporter) takePending() []Debit {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Debit, 0, len(d.pending))
	for _, p := range d.pending {
		out = append(out, *p)
	}
	clear(d.pending)
	return out
}

// recordDebts records until when the accounts are in debt, and removes debts that have ended.
func (d *DebitReporter) recordDebts(debits []Debit, debts []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Placer.Hub.Now()
	for n, debt := range debts {
		if n < len(debits) && debt > 0 {
			d.debtUntil[debits[n].Account] = now.Add(debt)
		}
	}
	for account, until := range d.debtUntil {
		if now.After(until) {
			delete(d.debtUntil, account)
		}
	}
}

// rateLimitCell returns the cell whose dispatcher limits the rates of the client accounts: share 0 of the pools of the
// model whose prefill pool comes first by name. It returns false if there is none.
func rateLimitCell(rules *rule.Set) (ID, bool) {
	if rules == nil {
		return ID{}, false
	}
	var id ID
	for _, m := range rules.Models() {
		if id.Prefill == "" || m.Prefill < id.Prefill {
			id = ID{Prefill: m.Prefill, Decode: m.Decode}
		}
	}
	return id, id.Prefill != ""
}

// sendDebits reports debits to the dispatcher of a cell.
func (p *Placer) sendDebits(ctx context.Context, args DebitArgs) (DebitReply, error) {
	ranked := p.rankedDispatchers(args.Cell)
	if len(ranked) == 0 || ranked[0].Name == p.Self {
		return p.Hub.Debit(args), nil
	}
	var reply DebitReply
	err := p.Call(ctx, ranked[0].Peer, RPCName+".Debit", args, &reply)
	return reply, err
}
