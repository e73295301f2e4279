package outcome_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const faultsHead = `# Faults

Every fault at every step of each kind of request. The tables are generated from the test that runs them
(` + "`go test -run 'TestFault' ./outcome`" + `; ` + "`-update`" +
	` rewrites this page). Each cell is run over loopback HTTP against
stand-ins of the backend servers and the platform. A hook in the stand-in injects the fault when the request reaches the
step, never after a time. After each cell the test checks that no response is wrong, that an at-most-once request ran at
most once, and exactly once if it was confirmed, that a request refused as not-run did not run, that no engine holds
memory for an attempt, and that no API key reached a backend server.

What the caller saw: **whole** (the complete response), **replayed** (the stored response of the same run), **not-run**,
**unknown**, **ran** (refusals with these outcomes), **broken** (an error, or a connection that ended before the
response did), **passed** (an error response of the service), **gone** (the caller disconnected). An at-most-once
request with a key shows two results: that of the request, and that of a retry through another instance after the fault.
With "a or b", either can occur. A number gives the reason why the fault can't occur at that step.
`

// faultsPage returns the page that lists the expected results.
func faultsPage() string {
	var page strings.Builder
	page.WriteString(faultsHead)
	for _, k := range requestKinds {
		fmt.Fprintf(&page, "\n## %s\n\n| fault | %s |\n|---|%s\n", k, strings.Join(stepsByKind[k], " | "),
			strings.Repeat("---|", len(stepsByKind[k])))
		for _, r := range faultRows {
			cells := strings.ReplaceAll(strings.Join(strings.Fields(r.cells[k]), ","), "|", " or ")
			fmt.Fprintf(&page, "| %s | %s |\n", r.fault, strings.ReplaceAll(cells, ",", " | "))
		}
	}
	page.WriteString("\n## Reasons\n\n")
	for n := range len(inapplicableReasons) {
		fmt.Fprintf(&page, "%d. %s\n", n+1, inapplicableReasons[strconv.Itoa(n+1)])
	}
	page.WriteString("\n## Two faults\n\n| faults | kind of request | step | caller saw |\n|---|---|---|---|\n")
	for _, p := range faultPairs {
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n",
			p.faults, p.requestKind, p.step, strings.ReplaceAll(p.want, "|", " or "))
	}
	page.WriteString(faultsTail)
	return page.String()
}

const faultsTail = `
## Faults tested elsewhere

Operators who race each other, and a configuration that is reverted, are tested in config; an owner of a shard whose
lease expires in allowance; racing orders to engines in order. A request sees one revision of the rules throughout. A
caller that stops reading is tested by TestStalledCallerReleasesEngine.

## Failures of similar systems

What operators of similar systems have reported, where it could happen here, and the test that shows it. "Mended" means
that the test failed before the change.

| failure | where it could happen | test | verdict |
|---|---|---|---|
| a late second copy of a response on a connection in use again | requests to servers: a request sent again with the same ID | upstream TestDelayedCopiesReachNoOtherRequest | mended |
| | requests to servers: any other | the same, TestPoolMatchesResponsesToRequests, forward TestDuplicateResponsesAreDropped, TestLateResponsesAreDropped | can't happen: responses are matched by ID, surplus bytes end the connection |
| | orders to engines, which shared a connection with reports | platform TestLateCopyOfAReportIsNotTheResponseToAnOrder | mended: a connection each |
| | writes to the store, which shared connections with reads | platform TestLateCopyOfAReadIsNotTheResponseToAWrite | mended: a connection each |
| | lists of the store | platform TestLateCopyOfAnotherCallIsNotAnEmptyList | mended |
| | calls between instances | peer, tests of the pool | can't happen: net/rpc matches by number, each call has a reply of its own |
| a planned stop cuts requests just accepted | a kept connection on which a part of the next request has arrived | limit TestStopAnswersRequestsThatHaveArrivedInPart | mended |
| | the accept queue | limit TestStopServesTheAcceptQueue | mended |
| | requests that arrive before the stop and are read after it | limit TestStopAnswersRequestsThatAreReadLate | mended |
| | 200 stops in a row: queued, part of a head, part of a body, on the wire | limit TestRequestsSentBeforeAStopAreAnswered | 0 cut |
| | callers in their TLS handshake, in a body of 4 MB or that wait, by HTTP/1.1 and HTTP/2, with reloads and a change of rules | instance TestStopAnswersRequestsWithTLS | 0 cut in six stops |
| slow sound streams cut | engines' streams, a token just before each limit | engine TestSlowStreamsGoOnAndStalledOnesEnd | can't happen |
| stalled streams that send a byte now and then | engines' streams: single bytes, empty lines, comments, no head | the same | mended; on the users' platform the caller's deadline ends the stream |
| | callers that send or read slowly | limit TestSlowHeaderTimesOut, TestSlowBodyTimesOut, TestSlowReaderTimesOut | can't happen |
| a paused process acts on a permission that ran out | leases of orders, host suspended | order TestSuspendedHolderSendsNoOrder | mended |
| | an order between its check and its sending | platform TestOrderIsNotSentAfterItsPermissionHasEnded | mended |
| | grants of tokens | allowance TestClockCountsHostSuspension, TestNeverExceedsRateBound | can't happen |
| | keys and rules, claims | entry TestKeyIsRecheckedBeforeSending; the row "claim is taken over while its holder is paused" above | can't happen |
| | the list of servers: a choice that is used 0.3 to 12 s later, when another server has the address | forward TestRequestAfterAPauseRunsAtNoOtherServer | can't happen: the server named in the request refuses as another; without the name the test fails |
| | retry budget | - | has no time in it; a retry that a pause delays counts when it is sent |
| | pauses that servers ask for, servers' reservations | - | a suspension only makes them longer |
| around a hand-over both act, orders go out twice | leases, with delays, losses and pauses at every step | order TestNoOrderArrivesAfterThoseOfTheNextHolder, TestOnlyLeaseHolderSendsOrders | can't happen since the guard above; without it seed 149 fails |
| | primaries and successors of the allowance | allowance TestModelAllowsNoTwoGranters | can't happen |
| | two dispatchers of a cell | cell, tests of the rate limiter and of delayed requests | bounded: together at most 1.2 times each rate; engines reject what does not fit |
| requests crash one backend server after the other | engines, by parts of prompts, on the users' platform | forward TestRequestsThatCrashEnginesAreStopped, quarantine TestBlocks and TestAllInstancesLearnOfDeadlyParts | mended |
| | engines, by beginnings of prompts, in the product's own dialect | entry TestPromptsThatCrashEnginesAreStopped | mended |
| | the evidence, when all instances end at once | quarantine TestEvidenceOutlastsAllInstances | mended |
| | one caller has another's requests refused | quarantine TestNoCallerHasRequestsOfOthersRefused | can't happen |
| | engines, by orders to change their stage | order TestOrdersThatEndEnginesBecomeRare | mended |
| | all servers, by repeats of one request | forward TestRepeatsOfARequestThatCrashesServersAreStopped, entry TestPlainRequestsThatCrashServersAreStopped, instance TestDeadlyRequestsAreKnownToAllInstances | mended |
| | sound requests beside them are refused | forward TestDeadlyRequestsDoNotTakeSoundOnesWithThem, quarantine TestRequestBlocks and, by hand with -aims, TestDeadlyRequestsInAFleet | mended; rare for some seconds |
| | plain services, by requests that all differ | plays with such requests | open: nothing in these requests tells them from sound ones; each goes to maxAttempts servers at most, an order to one |
| a server gets more requests than the limit that it has named | requests to plain services, prefills, streams, reports, retries, at one instance | forward TestServerGetsNoMoreRequestsThanItsLimit, TestRequestsBeyondAllLimitsAreRefusedAtOnce, TestModelRequestsBeyondAllLimitsAreRefused | mended |
| | over all instances, while one ends and another starts | instance TestServersGetNoMoreRequestsThanTheyTakeFromAllInstances | mended; open where an instance takes the keeper for unresponsive (KNOWN-RED.txt) |
| | while the keeper or others are paused, cut off or new, in fleets up to 120 | throttle TestServersGetNoMoreThanTheyTakeWhileInstancesFail | can't happen by the users' rule; tested with 300 seeds |
| | an answer that is older than the naming ends the limit | throttle TestLimitEndsWhenTheServerNoLongerNamesIt | can't happen |
| a server sends bytes without end | heads, responses to other requests | upstream TestEndlessBytesAreGivenUp, platform TestEndlessReportsAreGivenUp | mended |
| | bodies of plain services, streams, failures of engines | forward TestEndlessPlainResponsesAreBrokenOff, TestEndlessStreamsAreBrokenOff, TestLongFailuresOfEnginesAreNotCut | mended |
| a server answers an upload early and breaks off | responses without a length, amid the upload or when it is still on its way | upstream, service TestEarlyResponseThatEndsWithTheConnectionIsIncomplete, instance TestEarlyResponsesThatEndWithTheConnectionAreNoAnswers, entry TestCallersSeeThatAnEarlyResponseIsIncomplete | mended |
| | the rest of the upload is sent after the end of the connection was read | upstream, service TestEarlyResponseBeforeTheRestOfTheUploadIsIncomplete, socket TestWritesAfterTheEndAreNotReceivedBeforeIt | mended |
| | prefills of the own dialect, writes to the store | engine TestEarlyResponsesToPrefillsAreErrors, platform TestEarlyResponsesToWritesAreErrors | mended |
| a server's response is none in HTTP | statuses below 200, names with blanks, in heads, interim heads and trailers | response, upstream, service TestResponsesWithInvalidStatusesAreMalformed, TestResponsesWithInvalidFieldNamesAreMalformed, TestResponsesWithInvalidTrailersAreMalformed | mended |
| | calls to engines, the store and instances | engine, platform TestMalformedResponsesOfEnginesAreErrors, TestMalformedResponsesOfTheStoreAreErrors, admin, config TestMalformedResponsesOfInstancesAreErrors | mended |
| | control bytes | TestResponsesWithControlBytesAreRefused | can't happen |
| an instance's response to HTTP/1.0 breaks off | all | limit TestCallersSeeThatAResponseIsBrokenOff | mended |
| a stream that is cut inside an event looks complete | engines' streams, with framing or without | forward TestStreamThatEndsInsideAnEventIsBrokenOff | mended |
| the work of a silent machine is started again or given up | an engine without reports for 5 s | forward TestStreamOfAnEngineThatStopsReportingGoesOn | can't happen |
| | a server that is no longer listed | forward TestOrderAtAServerThatIsNoLongerListedIsCompleted, registry TestLapsedServerIsKeptForGraceAfterOutage | can't happen |
| | an instance that its peers don't reach | outcome TestSweeperCancelsOrphanedAttempts | what it still reads is kept for a minute |
`

func TestFaultPageIsCurrent(t *testing.T) {
	for _, r := range faultRows {
		for _, k := range requestKinds {
			for _, cell := range strings.Fields(r.cells[k]) {
				if _, err := strconv.Atoi(cell); err == nil && inapplicableReasons[cell] == "" {
					t.Errorf("unexpected reason %s in %q, inapplicableReasons does not have it", cell, r.fault)
				}
			}
		}
	}
	if !slices.Contains(requestKinds, kindOnceKeyed) {
		t.Error("unexpected kinds of requests, at-most-once requests with a key are missing")
	}
	page := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	page.Assert(t, "FAULTS", []byte(faultsPage()))
}
