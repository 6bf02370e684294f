package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/rosemaryrill/rosemaryrill/invoker"
	"github.com/rosemaryrill/rosemaryrill/observer"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// service serves calls to the paths below /services/{service}/, which the Invoker executes.
func (s *Server) service(w http.ResponseWriter, r *http.Request, parameters httprouter.Params, c caller) observer.OutcomeLabel {
	deadline, refusal := s.deadline(r, time.Now())
	if refusal != nil {
		return s.writeRefusal(w, c.account.Name, refusal)
	}
	if len(r.Header.Values(headerIdempotencyKey)) > 1 {
		return s.writeRefusal(w, c.account.Name, refuser.New(refuser.CodeBadIdempotencyKey, "the header %s was sent more than once", headerIdempotencyKey))
	}
	body, share, refusal := s.readBody(w, r, c.account.Name, serviceCopies)
	if refusal != nil {
		return s.writeBodyRefusal(w, r, c.account.Name, refusal)
	}
	defer func() { share.Release() }()
	request := invoker.Request{
		ID:          c.requestID,
		Account:     c.account.Name,
		Service:     parameters.ByName("service"),
		Method:      r.Method,
		Path:        parameters.ByName("path"),
		Query:       r.URL.RawQuery,
		ContentType: r.Header.Get("Content-Type"),
		Key:         r.Header.Get(headerIdempotencyKey),
		Body:        body,
		Memory:      share,
		Deadline:    deadline,
	}
	answer, err := s.settings.Invoker.Invoke(r.Context(), request)
	if err != nil {
		return s.writeRefusal(w, c.account.Name, serviceRefusal(r.Context(), err))
	}
	share.Release()
	share = s.settings.Memory.Hold(c.account.Name, len(answer.Body)) // The caller may read it slowly.
	writeServiceAnswer(w, answer)
	return observer.OutcomeComplete
}

// serviceRefusal returns the refusal for an error of the Invoker. If the shutdown of the daemon cancelled the request, which
// the Invoker can't tell from a caller that disconnects, the refusal has the code CodeLeaving.
func serviceRefusal(ctx context.Context, err error) *refuser.Refusal {
	refusal := refuser.From(err)
	if refusal.Code != refuser.CodeCancelled || !isShutDown(ctx) {
		return refusal
	}
	leaving := refuser.New(refuser.CodeLeaving, "the daemon stopped before the call was answered").WithCause(err)
	leaving.Run = refusal.Run
	return leaving
}

func writeServiceAnswer(w http.ResponseWriter, answer invoker.Answer) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	if answer.Repeated {
		w.Header().Set(headerRepeated, "true")
	}
	if len(answer.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	// Writing fails if the caller has disconnected, so there is nobody to report the error to.
	_, _ = w.Write(answer.Body)
}

// mayUse reports whether the selectors allow the client account to use at least one target for the
// default version of the model.
func (c caller) mayUse(model string) bool {
	declared, ok := c.snapshot.Model(model)
	if !ok {
		return false
	}
	request := registrar.Request{Account: c.account.Name, Model: model, Version: declared.DefaultVersion}
	for _, verdict := range c.snapshot.Verdicts(request) {
		if verdict.Allowed {
			return true
		}
	}
	return false
}
