package relayer_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/recorder"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	host = "a.example"
	key  = "secret"
)

// harness implements every interface that a Relayer needs. It uses a real placer.Placer.
type harness struct {
	catalog    *cataloger.Catalog
	contactAge time.Duration
	// behaviours contains what the target of each attempt does, in order; the last one is used for all further attempts.
	behaviours []targetBehaviour
	// attemptTargets contains the targets of the attempts, resumeAfter the event ids after which they resume, and
	// remaining the times until the deadline that they pass on.
	attemptTargets []string
	resumeAfter    []string
	remaining      []time.Duration
	// accounts and namespaces are the accounts and the cache namespaces with which the attempts are sent.
	accounts, namespaces []string
	retryBudget          int
	// strikes counts the strikes by cause, and completions the completed answers.
	strikes     map[attributor.Cause]int
	completions map[attributor.Cause]int
	// closed counts the attempts whose connection was closed before an answer.
	closed         int
	crashesTargets bool
	expectedTime   time.Duration
	attempts       []*placer.Attempt
	placer         *placer.Placer
	prompt         relayer.Prompt
	tracer         trace.Tracer
	// delegated is what another daemon does with calls that are passed on to it; nil if there is none. passedOn are those calls.
	delegated *delegated
	passedOn  []relayer.Call
	// fromPeer makes the calls come from another daemon. deposits counts the credits for retries.
	fromPeer bool
	deposits int
	// recorded are the versions of the targets' software that were recorded as origins, the last one for the stream that began with the
	// request recordedID. recordedLate is set if the caller had a part of the answer by then. response is the answer to the caller.
	recorded     []string
	recordedID   string
	recordedLate bool
	response     *httptest.ResponseRecorder
	// lastEventID and resumes make the calls take a stream up.
	lastEventID, resumes string
	// admission is asked for the calls' shares; nil if none is. retryAfter is that of the last refusal.
	admission  relayer.Admission
	retryAfter time.Duration
	quotas     relayer.Quotas
}

// recording records the origins of streams for a harness.
type recording struct{ *harness }

func (r recording) Record(stream recorder.Stream, software string) {
	r.recorded = append(r.recorded, software)
	r.recordedID = stream.ID
	r.recordedLate = r.recordedLate || r.response.Body.Len() > 0
}

func (recording) Find(context.Context, recorder.Stream) (string, bool) { return "", true }

// delegated is the answer of another daemon.
type delegated struct {
	err     error
	refusal *relayer.Refusal
	body    string
	// truncated breaks the answer off.
	truncated bool
}

// passingOn passes calls on for a harness.
type passingOn struct{ *harness }

func (p passingOn) Send(_ context.Context, _ string, call *relayer.Call) (*relayer.DelegatedAnswer, error) {
	p.passedOn = append(p.passedOn, *call)
	d := p.delegated
	if d == nil {
		return nil, &connector.UnsentError{Cause: errors.New("no daemon")}
	}
	if d.err != nil || d.refusal != nil {
		return &relayer.DelegatedAnswer{Refusal: d.refusal}, d.err
	}
	body := io.Reader(strings.NewReader(d.body))
	if d.truncated {
		body = truncatingReader{body}
	}
	return &relayer.DelegatedAnswer{Daemon: "other", Response: connector.NewResponse(http.StatusOK, http.Header{}, io.NopCloser(body))}, nil
}

// targetBehaviour describes what a target does with a request.
type targetBehaviour struct {
	// err is returned by Send in place of an answer.
	err    error
	status int
	body   string
	// notRun reports in the header that the target did not run the request.
	notRun bool
	// truncated ends the body with io.ErrUnexpectedEOF.
	truncated bool
	// contentType and contentEncoding are the headers of the answer, if they are not empty.
	contentType, contentEncoding string
	// sealed makes the answer bear the mark of a target.
	sealed bool
	// undelimited makes the answer end with its connection, without a length or chunks.
	undelimited bool
	// before is called before the answer.
	before func()
	// queued is the time that the request waits at the target before the answer. It ends early if the attempt's
	// context ends.
	queued time.Duration
}

var (
	unsent = targetBehaviour{err: &connector.UnsentError{Cause: errors.New("refused")}}
	broken = targetBehaviour{err: &connector.NoResponseError{Cause: errors.New("reset")}}
	shed   = targetBehaviour{status: http.StatusServiceUnavailable, notRun: true}
	fails  = targetBehaviour{status: http.StatusInternalServerError, body: "failed"}
	good   = targetBehaviour{status: http.StatusOK, body: "done"}
)

func routes() []cataloger.Route {
	route := func(prefix string, kind cataloger.CallKind, resumable bool) cataloger.Route {
		return cataloger.Route{
			Name: prefix, Host: host, Prefix: prefix, CallKind: kind, Resumable: resumable, Timeout: 2 * time.Second,
			LatencyObjective: 200 * time.Millisecond, MaxAttempts: 2, TrafficShares: []cataloger.TrafficShare{{Service: "s", Weight: 1}},
		}
	}
	longRoute := func(prefix string, kind cataloger.CallKind, resumable bool) cataloger.Route {
		r := route(prefix, kind, resumable)
		r.Timeout = time.Minute
		return r
	}
	return []cataloger.Route{
		route("/once/", cataloger.CallNonIdempotent, false),
		route("/often/", cataloger.CallIdempotent, false),
		route("/stream/", cataloger.CallStream, false),
		route("/resume/", cataloger.CallStream, true),
		longRoute("/slow/", cataloger.CallStream, true),
		longRoute("/slow-once/", cataloger.CallStream, false),
	}
}

func newHarness(behaviours ...targetBehaviour) *harness {
	h := &harness{behaviours: behaviours, retryBudget: 100, strikes: make(map[attributor.Cause]int), completions: make(map[attributor.Cause]int)}
	h.catalog = cataloger.New(1, cataloger.Declarations{
		Routes: routes(), Accounts: []cataloger.Account{{Name: "account", Keys: []string{key}}},
	})
	h.placer = placer.New(placer.Settings{Now: time.Now, VersionBound: time.Minute})
	h.setTargets(sameSoftware)
	return h
}

// takeAllKeys puts a configuration in force whose list of accounts is empty.
func (h *harness) takeAllKeys() {
	h.catalog = cataloger.New(2, cataloger.Declarations{Routes: routes(), ListsAccounts: true})
}

// listNoAccounts puts a configuration in force that has no accounts.
func (h *harness) listNoAccounts() {
	h.catalog = cataloger.New(2, cataloger.Declarations{Routes: routes()})
}

// setTargets sets the targets, with the version of the software that each one has by its id.
func (h *harness) setTargets(software func(id string) string) {
	var targets []placer.Target
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		targets = append(targets, placer.Target{ID: id, Service: "s", Slots: 4, Address: netip.MustParseAddrPort("10.0.0.1:80"), Software: software(id)})
	}
	h.placer.SetTargets(targets)
}

func sameSoftware(string) string { return "" }

// softwareOf gives each target a version of its own.
func softwareOf(id string) string { return "version of " + id }

const (
	model = "m"
	// versionBound is how long after a newer wanted version is set a request may still start on older weights.
	versionBound = 10 * time.Second
)

func engine(id string, version int64) placer.Target {
	return placer.Target{
		ID: id, Service: "s", Slots: 4, Address: netip.MustParseAddrPort("10.0.0.1:80"), Versions: map[string]int64{model: version},
	}
}

// useReplacedWeights replaces the targets by engines with version 1 of a model. The wanted version was set to 2
// replacedFor ago.
func (h *harness) useReplacedWeights(replacedFor time.Duration) {
	h.placer = placer.New(placer.Settings{Now: time.Now, VersionBound: versionBound})
	h.placer.SetTargets([]placer.Target{engine("a", 1), engine("b", 1), engine("c", 1)})
	h.prompt = relayer.Prompt{Model: model}
	h.placer.SetWantedVersion(model, 1, true)
	h.placer.SetWantedVersion(model, 2, true)
	time.Sleep(replacedFor)
}

func (h *harness) Catalog() *cataloger.Catalog { return h.catalog }
func (h *harness) ContactAge() time.Duration   { return h.contactAge }
func (h *harness) Deposit(string)              { h.deposits++ }
func (h *harness) TryWithdraw(string) bool     { h.retryBudget--; return h.retryBudget >= 0 }

func (h *harness) Verdict(causes []attributor.Cause) attributor.Verdict {
	return attributor.Verdict{Refused: h.crashesTargets, Cause: causes[0], RetryAfter: time.Second}
}

func (h *harness) RecordBroken(causes []attributor.Cause, _ uint64, _ netip.AddrPort) {
	for _, cause := range causes {
		h.strikes[cause]++
	}
}

func (h *harness) RecordCompletion(causes []attributor.Cause) {
	for _, cause := range causes {
		h.completions[cause]++
	}
}

func (h *harness) Refuse(rw http.ResponseWriter, refusal relayer.Refusal) {
	h.retryAfter = refusal.RetryAfter
	rw.Header().Set("Reason", string(refusal.Reason))
	rw.Header().Set("Retry-After", refusal.RetryAfter.String())
	if refusal.NotRun {
		rw.Header().Set("Not-Run", "1")
	}
	rw.WriteHeader(refusal.Status)
}

func (h *harness) Choose(call placer.Call, excluded []string) (placer.Choice, error) {
	if call.FirstEventLimit > 0 && h.expectedTime > call.FirstEventLimit {
		return placer.Choice{}, &placer.NotInTimeError{Service: call.Service, Expected: h.expectedTime, Limit: call.FirstEventLimit}
	}
	choice, err := h.placer.Choose(call, excluded)
	h.attempts = append(h.attempts, choice.Attempt)
	return choice, err
}

func (h *harness) Request(_ *relayer.Call, attempt relayer.Attempt) connector.Request {
	h.attemptTargets = append(h.attemptTargets, attempt.Target.ID)
	h.resumeAfter = append(h.resumeAfter, attempt.LastEventID)
	h.remaining = append(h.remaining, attempt.Remaining)
	h.accounts = append(h.accounts, attempt.Account)
	h.namespaces = append(h.namespaces, attempt.CacheNamespace)
	return connector.Request{}
}

func (h *harness) Answer(_ int, header http.Header) relayer.Answer {
	return relayer.Answer{NotRun: header.Get("Not-Run") != "", Sealed: header.Get("Seal") != "", RateLimit: -1, Brittle: -1}
}

// truncatingReader replaces io.EOF by io.ErrUnexpectedEOF.
type truncatingReader struct{ io.Reader }

func (c truncatingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (h *harness) Send(ctx context.Context, _ netip.AddrPort, _ connector.Request) (*connector.Response, error) {
	next := h.behaviours[min(len(h.attemptTargets)-1, len(h.behaviours)-1)]
	if next.before != nil {
		next.before()
	}
	select {
	case <-ctx.Done():
	case <-time.After(next.queued):
	}
	if ctx.Err() != nil {
		h.closed++
		return nil, &connector.NoResponseError{Cause: ctx.Err()}
	}
	if next.err != nil {
		return nil, next.err
	}
	header := http.Header{}
	if next.notRun {
		header.Set("Not-Run", "1")
	}
	if next.sealed {
		header.Set("Seal", "s")
	}
	for name, value := range map[string]string{"Content-Type": next.contentType, "Content-Encoding": next.contentEncoding} {
		if value != "" {
			header.Set(name, value)
		}
	}
	body := io.Reader(strings.NewReader(next.body))
	if next.truncated {
		body = truncatingReader{body}
	}
	response := connector.NewResponse(next.status, header, io.NopCloser(body))
	response.Delimited = !next.undelimited
	return response, nil
}

// result is the response that the caller received.
type result struct {
	status  int
	body    string
	notRun  bool
	aborted bool
	reason  string
}

// relay sends one request through a relayer.
func (h *harness) relay(ctx context.Context, path string) (seen result) {
	r := relayer.New(relayer.Settings{
		Configuration: h, Placer: h, Targets: h, Codec: h, RetryBudget: h, Crashes: h, Admission: h.admission, Quotas: h.quotas,
		Tracer: h.tracer, Delegator: passingOn{h}, Origins: recording{h},
		ContactAgeLimits: func() relayer.ContactAgeLimits {
			return relayer.ContactAgeLimits{KeyUse: 4 * time.Second, Denial: 2 * time.Second}
		},
	})
	recorder := httptest.NewRecorder()
	h.response = recorder
	func() {
		defer func() { seen.aborted = recover() != nil }()
		r.Relay(ctx, recorder, &relayer.Call{
			ID: "1", Method: http.MethodPost, URI: path + "x", Path: path + "x", Host: host, Header: http.Header{}, Key: key, ArrivedAt: time.Now(),
			Prompt: h.prompt, Delegated: h.fromPeer, LastEventID: h.lastEventID, Resumes: h.resumes,
		})
	}()
	seen.status, seen.body = recorder.Code, recorder.Body.String()
	seen.notRun = recorder.Header().Get("Not-Run") != ""
	seen.reason = recorder.Header().Get("Reason")
	return seen
}

// runs counts the attempts that a target may have run.
func (h *harness) runs() (count int) {
	for i := range h.attemptTargets {
		given := h.behaviours[min(i, len(h.behaviours)-1)]
		var notSent *connector.UnsentError
		if !given.notRun && !errors.As(given.err, &notSent) {
			count++
		}
	}
	return count
}

func relayOnce(t *testing.T, h *harness, path string) result {
	t.Helper()
	return h.relay(t.Context(), path)
}
