package event

import "github.com/sirupsen/logrus"

// Codes of outcomes.
const (
	ClaimTakenOver     Code = 1601
	ClaimNotStored   Code = 1602
	ClaimsPruned     Code = 1603
	ClaimBypassed      Code = 1604
	AtMostOnceOutcomeUnknown      Code = 1605
	ResponseInterrupted     Code = 1606
	StreamResumed    Code = 1607
	CancelUnconfirmed    Code = 1608
	OrphanedAttemptsCancelled    Code = 1609
	RequestsAborted      Code = 1610
	RetryBudgetSpent Code = 1611
)

var outcomeEvents = map[Code]Definition{
	ClaimTakenOver:     {"claim-retaken", logrus.InfoLevel, "the claim of a call that was never sent was taken over"},
	ClaimNotStored:   {"claim-not-stored", logrus.WarnLevel, "a claim's last state could not be stored"},
	ClaimsPruned:     {"claims-pruned", logrus.InfoLevel, "expired claims removed"},
	ClaimBypassed:      {"claim-passed", logrus.WarnLevel, "platform down; a keyed call went out without a claim, as its route allows"},
	AtMostOnceOutcomeUnknown:      {"once-unknown", logrus.WarnLevel, "a call that may not be repeated was sent and its outcome is unknown"},
	ResponseInterrupted:     {"answer-broken", logrus.WarnLevel, "an answer broke off after its header"},
	StreamResumed:    {"stream-resumed", logrus.InfoLevel, "a stream was resumed on other backend servers"},
	CancelUnconfirmed:    {"cancel-given-up", logrus.WarnLevel, "an engine did not confirm a cancel; left to sweeping"},
	OrphanedAttemptsCancelled:    {"attempts-swept", logrus.InfoLevel, "attempts without an owner cancelled at an engine"},
	RequestsAborted:      {"requests-cut", logrus.WarnLevel, "requests were ended with an error at the shutdown deadline"},
	RetryBudgetSpent: {"retry-budget-spent", logrus.WarnLevel, "a call was not retried because the retry budget was spent"},
}
