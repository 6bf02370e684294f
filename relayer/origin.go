package relayer

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/recorder"
)

// unknownOriginRetryAfter is the retry delay for a take-up of a stream that may have begun at several versions of the targets'
// software. Another daemon may know it, and the delay leaves the caller time to begin anew.
const unknownOriginRetryAfter = 500 * time.Millisecond

// isTakeUp reports whether the caller takes a stream up again.
func (r *relayedRequest) isTakeUp() bool {
	return r.route.CallKind == cataloger.CallStream && r.call.LastEventID != ""
}

// firstID returns the id of the request that began the stream: this one, unless it is a take-up.
func (r *relayedRequest) firstID() string {
	if r.isTakeUp() {
		return r.call.Resumes
	}
	return r.call.ID
}

func (r *relayedRequest) stream() recorder.Stream {
	stream := recorder.Stream{Service: r.service, ID: r.firstID()}
	if r.account != nil {
		stream.Account = r.account.Name
	}
	return stream
}

// admitTakeUp finds the version of the targets' software that began a stream which the caller takes up again. It returns a refusal
// if that is not known: a stream that is joined from two versions would be worse than one that begins anew.
func (r *relayedRequest) admitTakeUp() *Refusal {
	origins := r.relayer.settings.Origins
	stream := r.stream()
	if origins == nil || !r.isTakeUp() || r.takenUp == stream {
		return nil
	}
	software, known := origins.Find(r.ctx, stream)
	if !known {
		return unavailable(ReasonUnknownOrigin, unknownOriginRetryAfter)
	}
	r.software, r.takenUp = software, stream
	return nil
}

// recordOrigin records the version of the software that begins a stream, just before the caller gets the first event of its answer. An
// attempt without an event has begun nothing: the next one may come from another version. A take-up is recorded for the stream's first
// request, so that the next one finds daemons that know it. If another daemon took the request, that one records it.
func (r *relayedRequest) recordOrigin(target placer.Target) {
	begins := !r.headWritten && !r.delegated
	if origins := r.relayer.settings.Origins; origins != nil && begins {
		origins.Record(r.stream(), target.Software)
	}
}
