package formation

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/roster"
)

const testStallTimeout = 6 * time.Second

// said is a round in which the second of two members gave the response.
func said(response Response, reached, asked int) round {
	return round{took: callTimeout, ids: []string{"a", "b"}, responses: []Response{InGroup, response}, references: references{asked: asked, reached: reached}}
}

// times repeats a round.
func times(count int, repeated round) []round {
	rounds := make([]round, count)
	for index := range rounds {
		rounds[index] = repeated
	}
	return rounds
}

// decideAll returns the verdict of each round. Rounds begin a pause of 0.6 s after the previous one has ended.
func decideAll(rounds ...[]round) (verdicts []verdict, lostMembers []bool) {
	judge := newJudge(testStallTimeout, maxExaminationPause)
	now := time.Hour
	for _, group := range rounds {
		for _, asked := range group {
			asked.startedAt = now
			now += asked.took + maxExaminationPause
			verdicts = append(verdicts, judge.decide(&asked))
		}
	}
	return verdicts, []bool{judge.isLost("a"), judge.isLost("b")}
}

// Guards against a group that is ended without a proof, and against one that is kept after a proof. The table has what a
// member said in each round, with the reference servers that were reached, and the verdict after the last round. All
// rounds before that are undecided.
func TestVerdictByEvidence(t *testing.T) {
	late := said(NoConnection, 6, 6)
	late.took = callTimeout + maxRoundDelay + time.Millisecond
	paused := said(NoConnection, 6, 6)
	paused.delay = maxRoundDelay + time.Millisecond
	slightlyLate := said(NoConnection, 6, 6)
	slightlyLate.took = callTimeout + maxRoundDelay
	unlistedLate := said(Unlisted, 6, 6)
	unlistedLate.took = late.took
	// A round takes 0.15 s and a pause 0.6 s, so the ninth ends after 6.15 s.
	overdueRounds := 9
	for name, test := range map[string]struct {
		rounds   [][]round
		expected verdict
	}{
		"all members reply":                                             {[][]round{{said(InGroup, 0, 0)}}, complete},
		"a member refuses the request":                                  {[][]round{{said(RequestRefused, 0, 0)}}, complete},
		"a member is in no group or another one":                        {[][]round{{said(NotInGroup, 0, 0)}}, lost},
		"a member restarted":                                            {[][]round{{said(OtherRun, 0, 0)}}, lost},
		"another server has the address":                                {[][]round{{said(OtherServer, 0, 0)}}, lost},
		"a member is not listed and accepts no connection":              {[][]round{{said(Unlisted, 0, 6)}}, lost},
		"a member is not listed, in late rounds":                        {[][]round{times(20, unlistedLate)}, undecided},
		"the process ended":                                             {[][]round{{said(ConnectionRefused, 4, 6)}}, lost},
		"the process ended, no references":                              {[][]round{{said(ConnectionRefused, 0, 0)}}, lost},
		"half of the references accept no connections either":           {[][]round{times(20, said(ConnectionRefused, 3, 6))}, undecided},
		"the process ended after a pause":                               {[][]round{times(3, said(NoReply, 0, 0)), {said(ConnectionRefused, 0, 0)}}, lost},
		"a report is reset once":                                        {[][]round{{said(ConnectionReset, 0, 0)}}, undecided},
		"a report is reset twice":                                       {[][]round{times(2, said(ConnectionReset, 0, 0))}, lost},
		"a report is reset twice, silent in between":                    {[][]round{{said(ConnectionReset, 0, 0)}, {said(NoReply, 0, 0)}, {said(ConnectionReset, 0, 0)}}, undecided},
		"no connection, all references reached":                         {[][]round{{said(NoConnection, 6, 6)}}, lost},
		"no connection, one reference, reached":                         {[][]round{{said(NoConnection, 1, 1)}}, lost},
		"no connection once, most references reached":                   {[][]round{{said(NoConnection, 5, 6)}}, undecided},
		"no connection twice, most references reached":                  {[][]round{times(2, said(NoConnection, 5, 6))}, undecided},
		"no connection three times, most references reached":            {[][]round{times(3, said(NoConnection, 4, 6))}, lost},
		"no connection, half of the references reached":                 {[][]round{times(20, said(NoConnection, 3, 6))}, undecided},
		"no connection, no reference reached":                           {[][]round{times(20, said(NoConnection, 0, 6))}, undecided},
		"no connection three times, other members reply, no references": {[][]round{times(3, said(NoConnection, 0, 0))}, lost},
		"a connection in between":                                       {[][]round{times(2, said(NoConnection, 5, 6)), {said(NoReply, 5, 6)}, times(2, said(NoConnection, 5, 6))}, undecided},
		"a round in between without references":                         {[][]round{times(2, said(NoConnection, 5, 6)), {said(NoConnection, 1, 6)}, times(2, said(NoConnection, 5, 6))}, undecided},
		"a reply in between":                                            {[][]round{times(2, said(NoConnection, 5, 6)), {said(InGroup, 0, 0)}}, complete},
		"this node was not scheduled":                                   {[][]round{times(20, late)}, undecided},
		"this node was paused during the round":                         {[][]round{times(20, paused)}, undecided},
		"this node was scheduled just late":                             {[][]round{{slightlyLate}}, lost},
		"silent for just under the stall timeout":                       {[][]round{times(overdueRounds-1, said(NoReply, 0, 0))}, undecided},
		"silent for the stall timeout":                                  {[][]round{times(overdueRounds, said(NoReply, 0, 0))}, overdue},
		"silent, with a reply in between":                               {[][]round{times(overdueRounds-1, said(NoReply, 0, 0)), {said(InGroup, 0, 0)}}, complete},
		"silent, with the network away in between":                      {[][]round{times(overdueRounds-2, said(NoReply, 0, 0)), {said(NoConnection, 0, 6)}, times(overdueRounds-1, said(NoReply, 0, 0))}, undecided},
	} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			verdicts, lostMembers := decideAll(test.rounds...)
			last := len(verdicts) - 1
			expect.Expect(verdicts[last]).To(gomega.Equal(test.expected), "%v", verdicts)
			for index, before := range verdicts[:last] {
				expect.Expect(before).To(gomega.Equal(undecided), "round %d", index)
			}
			expect.Expect(lostMembers).To(gomega.Equal([]bool{false, test.expected == lost}))
		})
	}
}

// Guards against a reply, or the lack of one, that is taken for another: what a member said follows from its report, from
// the error of the request and from the error of a new connection.
func TestResponseOfAMember(t *testing.T) {
	group := Group{Name: "g", Members: []string{"a"}}
	in := func(name, state string) roster.Membership { return roster.Membership{Name: name, State: state} }
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for name, test := range map[string]struct {
		listed          roster.Server
		report          Report
		err, connectErr error
		expected        Response
	}{
		"in the group":                             {report: Report{Group: in("g", roster.Open)}, expected: InGroup},
		"in the group, broken":                     {report: Report{Group: in("g", roster.Broken)}, expected: NotInGroup},
		"in another group":                         {report: Report{Group: in("h", roster.Open)}, expected: NotInGroup},
		"in no group":                              {expected: NotInGroup},
		"in no group, another run":                 {listed: roster.Server{Born: 1}, report: Report{Born: 2}, expected: OtherRun},
		"in the group, not the run that joined":    {listed: roster.Server{Born: 1, Group: in("g", roster.Open)}, report: Report{Born: 2, Group: in("g", roster.Open)}, expected: OtherRun},
		"in the group, the list is older":          {listed: roster.Server{Born: 1}, report: Report{Born: 2, Group: in("g", roster.Open)}, expected: InGroup},
		"in the group, the report has no start":    {listed: roster.Server{Born: 1, Group: in("g", roster.Open)}, report: Report{Group: in("g", roster.Open)}, expected: InGroup},
		"refused":                                  {err: errors.Mark(errors.New("status 503"), ErrRefused), expected: RequestRefused},
		"another server at the address":            {err: errors.Mark(errors.New("status 421"), ErrOtherServer), expected: OtherServer},
		"silent, connection accepted":              {err: context.DeadlineExceeded, expected: NoReply},
		"silent, connection timed out":             {err: context.DeadlineExceeded, connectErr: os.ErrDeadlineExceeded, expected: NoConnection},
		"silent, host unreachable":                 {err: context.DeadlineExceeded, connectErr: syscall.EHOSTUNREACH, expected: NoConnection},
		"silent, connection refused":               {err: context.DeadlineExceeded, connectErr: refused, expected: ConnectionRefused},
		"report refused, connection refused":       {err: refused, connectErr: refused, expected: ConnectionRefused},
		"report reset, connection accepted":        {err: reset, expected: ConnectionReset},
		"report closed, connection accepted":       {err: errors.Wrap(io.EOF, "request report"), expected: ConnectionReset},
		"report reset, connection refused":         {err: reset, connectErr: refused, expected: ConnectionRefused},
		"report reset, connection timed out":       {err: reset, connectErr: os.ErrDeadlineExceeded, expected: NoConnection},
		"unreadable report, connection accepted":   {err: errors.New("decode report"), expected: NoReply},
		"report refused once, connection accepted": {err: refused, expected: NoReply},
	} {
		t.Run(name, func(t *testing.T) {
			found := memberResponse(group, &test.listed, &test.report, test.err, test.connectErr)
			gomega.NewWithT(t).Expect(found).To(gomega.Equal(test.expected))
		})
	}
}

// Guards against members that count as silent for the time in which this node itself was paused. Replies may have
// arrived unseen.
func TestPauseOfThisNodeIsNotSilenceOfMembers(t *testing.T) {
	expect := gomega.NewWithT(t)
	judge := newJudge(testStallTimeout, maxExaminationPause)
	silent := said(NoReply, 0, 0)
	silent.startedAt = time.Hour
	expect.Expect(judge.decide(&silent)).To(gomega.Equal(undecided))
	silent.startedAt += callTimeout + testStallTimeout
	expect.Expect(judge.decide(&silent)).To(gomega.Equal(undecided))
	silent.startedAt += callTimeout + maxExaminationPause
	silent.took = testStallTimeout
	expect.Expect(judge.decide(&silent)).To(gomega.Equal(undecided))
}

// Guards against all groups of a model being ended at once because all their servers are silent.
func TestOneGroupOfAModelIsEndedOnSuspicionWithinAStallTimeout(t *testing.T) {
	expect := gomega.NewWithT(t)
	limit := suspicionLimit{}
	expect.Expect(limit.take("large", time.Hour, testStallTimeout)).To(gomega.BeTrue())
	expect.Expect(limit.take("large", time.Hour+testStallTimeout-time.Millisecond, testStallTimeout)).To(gomega.BeFalse())
	expect.Expect(limit.take("small", time.Hour, testStallTimeout)).To(gomega.BeTrue())
	expect.Expect(limit.take("large", time.Hour+testStallTimeout, testStallTimeout)).To(gomega.BeTrue())
	expect.Expect(limit.take("large", time.Hour+testStallTimeout+time.Second, testStallTimeout)).To(gomega.BeFalse())
}

// Guards against references that all share the fault of the member: half of them are in other data centres, as far as
// there are as many.
func TestReferencesAreInTheSameAndOtherDataCentres(t *testing.T) {
	for _, test := range []struct{ near, far, expectedNear, expectedFar int }{
		{20, 20, 3, 3}, {20, 1, 5, 1}, {1, 20, 1, 5}, {2, 2, 2, 2}, {20, 0, 6, 0}, {0, 20, 0, 6}, {0, 0, 0, 0},
	} {
		expect := gomega.NewWithT(t)
		servers := func(dataCentre string, count int) []*roster.Server {
			list := []*roster.Server{}
			for index := range count {
				list = append(list, &roster.Server{ID: fmt.Sprintf("%s-%02d", dataCentre, index), DataCentre: dataCentre})
			}
			return list
		}
		counts := map[string]int{}
		distinct := map[string]bool{}
		for _, server := range sampleReferences(servers("near", test.near), servers("far", test.far), rand.New(rand.NewPCG(1, 2))) {
			counts[server.DataCentre]++
			distinct[server.ID] = true
		}
		expect.Expect([]int{counts["near"], counts["far"]}).To(gomega.Equal([]int{test.expectedNear, test.expectedFar}))
		expect.Expect(distinct).To(gomega.HaveLen(test.expectedNear + test.expectedFar))
	}
}

// Guards against a leader that asks all servers of a large fleet again and again while they are silent together.
func TestQuestionsAreBoundedWhileManyGroupsAreExamined(t *testing.T) {
	expect := gomega.NewWithT(t)
	expect.Expect(examinationPause(minExaminationPause, 4)).To(gomega.Equal(minExaminationPause))
	expect.Expect(examinationPause(maxExaminationPause, 63)).To(gomega.Equal(maxExaminationPause))
	for _, members := range []int{760, 3060, 6000} {
		perSecond := float64(members) / examinationPause(minExaminationPause, members).Seconds()
		expect.Expect(perSecond).To(gomega.BeNumerically("<=", maxQuestionsPerSecond))
	}
}
