package event

import "github.com/sirupsen/logrus"

// Codes of outcomes.
const (
	ClaimRetaken     Code = 1601
	ClaimNotStored   Code = 1602
	ClaimsPruned     Code = 1603
	ClaimPassed      Code = 1604
	OnceUnknown      Code = 1605
	AnswerBroken     Code = 1606
	StreamResumed    Code = 1607
	CancelGivenUp    Code = 1608
	AttemptsSwept    Code = 1609
	RequestsCut      Code = 1610
	RetryBudgetSpent Code = 1611
)

var outcomeEvents = map[Code]Definition{
	ClaimRetaken:     {"claim-retaken", logrus.InfoLevel, "the claim of a call that was never sent was taken over"},
	ClaimNotStored:   {"claim-not-stored", logrus.WarnLevel, "a claim's last state could not be stored"},
	ClaimsPruned:     {"claims-pruned", logrus.InfoLevel, "expired claims removed"},
	ClaimPassed:      {"claim-passed", logrus.WarnLevel, "platform down; a keyed call went out without a claim, as its route allows"},
	OnceUnknown:      {"once-unknown", logrus.WarnLevel, "a call that may not be repeated was sent and its outcome is unknown"},
	AnswerBroken:     {"answer-broken", logrus.WarnLevel, "an answer broke off after its header"},
	StreamResumed:    {"stream-resumed", logrus.InfoLevel, "a stream was resumed on other backend servers"},
	CancelGivenUp:    {"cancel-given-up", logrus.WarnLevel, "an engine did not confirm a cancel; left to sweeping"},
	AttemptsSwept:    {"attempts-swept", logrus.InfoLevel, "attempts without an owner cancelled at an engine"},
	RequestsCut:      {"requests-cut", logrus.WarnLevel, "requests were ended with an error at the shutdown deadline"},
	RetryBudgetSpent: {"retry-budget-spent", logrus.WarnLevel, "a call was not retried because the retry budget was spent"},
}
