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

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	host = "a.example"
	key  = "secret"
)

// world is a relayer among stand-ins.
type world struct {
	catalog *cataloger.Catalog
	age     time.Duration
	// answers are given to the attempts in turn; the last one to all further ones.
	answers []answer
	// sent are the targets of the attempts, and after the events that they go on after.
	sent    []string
	after   []string
	left    []time.Duration
	budget  int
	strikes map[uint64]int
	// closed counts the attempts whose connection was closed before an answer.
	closed  int
	convict bool
	expect  time.Duration
	flights []*placer.Flight
	places  *placer.Placer
	prompt  relayer.Prompt
	tracer  trace.Tracer
}

// answer is what a target does with a request.
type answer struct {
	// err ends the attempt before an answer.
	err error
	// status and body are the answer; notRun disowns the request.
	status int
	body   string
	notRun bool
	// cut breaks the body off.
	cut bool
	// before runs before the answer.
	before func()
	// queued is how long the request waits at the target before it gives its first event, unless its
	// connection is closed.
	queued time.Duration
}

var (
	unsent = answer{err: &connector.UnsentError{Cause: errors.New("refused")}}
	broken = answer{err: &connector.BrokenError{Cause: errors.New("reset")}}
	shed   = answer{status: http.StatusServiceUnavailable, notRun: true}
	fails  = answer{status: http.StatusInternalServerError, body: "failed"}
	good   = answer{status: http.StatusOK, body: "done"}
)

func routes() []cataloger.Route {
	route := func(prefix string, repeat cataloger.Repeat, resumable bool) cataloger.Route {
		return cataloger.Route{
			Name: prefix, Host: host, Prefix: prefix, Repeat: repeat, Resumable: resumable, Timeout: 2 * time.Second,
			Objective: 200 * time.Millisecond, MaxAttempts: 2, Shares: []cataloger.Share{{Service: "s", Weight: 1}},
		}
	}
	patient := func(prefix string, repeat cataloger.Repeat, resumable bool) cataloger.Route {
		r := route(prefix, repeat, resumable)
		r.Timeout = time.Minute
		return r
	}
	return []cataloger.Route{
		route("/once/", cataloger.RepeatNever, false),
		route("/often/", cataloger.RepeatFreely, false),
		route("/stream/", cataloger.RepeatStream, false),
		route("/resume/", cataloger.RepeatStream, true),
		patient("/slow/", cataloger.RepeatStream, true),
		patient("/slow-once/", cataloger.RepeatStream, false),
	}
}

func newWorld(answers ...answer) *world {
	w := &world{answers: answers, budget: 100, strikes: make(map[uint64]int)}
	w.catalog = cataloger.New(1, cataloger.Declarations{
		Routes: routes(), Accounts: []cataloger.Account{{Name: "account", Keys: []string{key}}},
	})
	w.places = placer.New(placer.Settings{Now: time.Now, VersionBound: time.Minute})
	var targets []placer.Target
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		targets = append(targets, placer.Target{ID: id, Service: "s", Slots: 4, Address: netip.MustParseAddrPort("10.0.0.1:80")})
	}
	w.places.SetTargets(targets)
	return w
}

const (
	model = "m"
	// versionBound is how long after newer weights are named a request may begin on the ones before.
	versionBound = 10 * time.Second
)

func engine(id string, version int64) placer.Target {
	return placer.Target{
		ID: id, Service: "s", Slots: 4, Address: netip.MustParseAddrPort("10.0.0.1:80"), Versions: map[string]int64{model: version},
	}
}

// withWeights makes the targets engines of a model whose newer weights were named some time ago.
func (w *world) withWeights(ago time.Duration) {
	w.places = placer.New(placer.Settings{Now: time.Now, VersionBound: versionBound})
	w.places.SetTargets([]placer.Target{engine("a", 1), engine("b", 1), engine("c", 1)})
	w.prompt = relayer.Prompt{Model: model}
	w.places.Want(model, 1, true)
	w.places.Want(model, 2, true)
	time.Sleep(ago)
}

func (w *world) Catalog() *cataloger.Catalog  { return w.catalog }
func (w *world) ContactAge() time.Duration    { return w.age }
func (w *world) Deposit(string)               {}
func (w *world) Withdraw(string) bool         { w.budget--; return w.budget >= 0 }
func (w *world) Convicted(uint64) bool        { return w.convict }
func (w *world) Strike(fingerprint, _ uint64) { w.strikes[fingerprint]++ }
func (w *world) Refuse(rw http.ResponseWriter, refusal relayer.Refusal) {
	rw.Header().Set("Reason", string(refusal.Reason))
	if refusal.NotRun {
		rw.Header().Set("Not-Run", "1")
	}
	rw.WriteHeader(refusal.Status)
}

func (w *world) Choose(call placer.Call, excluded []string) (placer.Choice, error) {
	if call.Within > 0 && w.expect > call.Within {
		return placer.Choice{}, &placer.NotInTimeError{Service: call.Service, Expected: w.expect, Within: call.Within}
	}
	choice, err := w.places.Choose(call, excluded)
	w.flights = append(w.flights, choice.Flight)
	return choice, err
}

func (w *world) Request(_ *relayer.Call, attempt relayer.Attempt) connector.Request {
	w.sent = append(w.sent, attempt.Target.ID)
	w.after = append(w.after, attempt.After)
	w.left = append(w.left, attempt.Left)
	return connector.Request{}
}

func (w *world) Answer(_ int, header http.Header) relayer.Answer {
	return relayer.Answer{NotRun: header.Get("Not-Run") != "", Requests: -1}
}

// cutReader ends without the end of the body.
type cutReader struct{ io.Reader }

func (c cutReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (w *world) Send(ctx context.Context, _ netip.AddrPort, _ connector.Request) (*connector.Response, error) {
	next := w.answers[min(len(w.sent)-1, len(w.answers)-1)]
	if next.before != nil {
		next.before()
	}
	select {
	case <-ctx.Done():
	case <-time.After(next.queued):
	}
	if ctx.Err() != nil {
		w.closed++
		return nil, &connector.BrokenError{Cause: ctx.Err()}
	}
	if next.err != nil {
		return nil, next.err
	}
	header := http.Header{}
	if next.notRun {
		header.Set("Not-Run", "1")
	}
	body := io.Reader(strings.NewReader(next.body))
	if next.cut {
		body = cutReader{body}
	}
	return connector.NewResponse(next.status, header, io.NopCloser(body)), nil
}

// result is what the caller saw.
type result struct {
	status  int
	body    string
	notRun  bool
	aborted bool
	reason  string
}

// relay sends one request through a relayer.
func (w *world) relay(ctx context.Context, path string) (seen result) {
	r := relayer.New(relayer.Settings{
		Knowledge: w, Places: w, Targets: w, Codec: w, Budget: w, Strikes: w, Tracer: w.tracer,
		Bounds: func() relayer.Bounds { return relayer.Bounds{Key: 4 * time.Second, Denial: 2 * time.Second} },
	})
	recorder := httptest.NewRecorder()
	func() {
		defer func() { seen.aborted = recover() != nil }()
		r.Relay(ctx, recorder, &relayer.Call{
			ID: "1", Method: http.MethodPost, URI: path + "x", Path: path + "x", Host: host, Header: http.Header{}, Key: key, Arrived: time.Now(),
			Prompt: w.prompt,
		})
	}()
	seen.status, seen.body = recorder.Code, recorder.Body.String()
	seen.notRun = recorder.Header().Get("Not-Run") != ""
	seen.reason = recorder.Header().Get("Reason")
	return seen
}

// runs counts the attempts that may have run.
func (w *world) runs() (count int) {
	for i := range w.sent {
		given := w.answers[min(i, len(w.answers)-1)]
		var notSent *connector.UnsentError
		if !given.notRun && !errors.As(given.err, &notSent) {
			count++
		}
	}
	return count
}

func relayOnce(t *testing.T, w *world, path string) result {
	t.Helper()
	return w.relay(t.Context(), path)
}
