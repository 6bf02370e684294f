package drainer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/drainer"
)

// startHTTP2 serves over TLS and returns the Drainer, the URL of the server and a client, which shares one connection
// among its requests.
func startHTTP2(t *testing.T, handler http.HandlerFunc) (d *drainer.Drainer, url string, client *http.Client) {
	t.Helper()
	return startHTTP2With(t, drainer.Settings{}, handler)
}

func startHTTP2With(t *testing.T, settings drainer.Settings, handler http.HandlerFunc) (d *drainer.Drainer, url string, client *http.Client) {
	t.Helper()
	settings.AbortCause = errStopping
	donor := httptest.NewTLSServer(http.NotFoundHandler())
	defer donor.Close()
	server := &http.Server{Handler: handler, TLSConfig: &tls.Config{Certificates: donor.TLS.Certificates}}
	d = drainer.New(server, settings)
	listener := listen(t)
	tracked := d.Track(listener)
	go func() { _ = server.ServeTLS(tracked, "", "") }()
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = d.Close()
	})
	return d, "https://" + listener.Addr().String(), &http.Client{Transport: transport}
}

func get(client *http.Client, url string) (body string, err error) {
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.ProtoMajor != 2 {
		return "", errors.New(response.Proto)
	}
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

// Guards against answers over HTTP/2 that are lost at the end of a drain (LOST): several requests share the connection,
// whose reading must go on until all of them are answered.
func TestDrainCancelsRequestsOverHTTP2AtItsEnd(t *testing.T) {
	d, url, client := startHTTP2(t, func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		_, _ = fmt.Fprint(w, context.Cause(r.Context()))
	})
	const calls = 3
	answers := make(chan string, calls)
	for range calls {
		go func() {
			body, err := get(client, url)
			answers <- fmt.Sprintf("%s, %v", body, err)
		}()
	}
	for d.OpenRequests() < 1 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // All calls have reached the handler.
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	d.Drain(ctx)
	for range calls {
		if answer := <-answers; answer != "stopping, <nil>" {
			t.Errorf("answer %q", answer)
		}
	}
}

// Guards against answers over HTTP/2 that are lost in the server's buffer (LOST): net/http calls a connection idle before
// it has written the last bytes. Each drain begins as soon as a handler has returned.
func TestDrainWaitsForAnswersOverHTTP2(t *testing.T) {
	const rounds = 20
	for round := range rounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			drainDuringAnswer(t)
		})
	}
}

func drainDuringAnswer(t *testing.T) {
	t.Helper()
	returned := make(chan struct{}, 1)
	d, url, client := startHTTP2(t, func(w http.ResponseWriter, r *http.Request) {
		answerOK(w, r)
		returned <- struct{}{}
	})
	answer := make(chan error, 1)
	go func() {
		_, err := get(client, url)
		answer <- err
	}()
	<-returned
	ctx, cancel := context.WithTimeout(t.Context(), drainTimeout)
	defer cancel()
	report := d.Drain(ctx)
	if err := <-answer; err != nil || report.Aborted != 0 {
		t.Errorf("%v, %+v", err, report)
	}
}
