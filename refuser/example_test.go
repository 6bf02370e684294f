package refuser_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryrill/rosemaryrill/refuser"
)

func ExampleNew() {
	refusal := refuser.New(refuser.CodeUnknownModel, "model %q is not declared", "x")
	fmt.Println(refusal.Status(), refusal.Code, refusal.Run)
	fmt.Println(refusal.Message)
	// Output:
	// 404 unknown_model not_run
	// model "x" is not declared
}

func ExampleRefusal_WithMayHaveRun() {
	cause := errors.New("connection reset")
	refusal := refuser.New(refuser.CodeAnswerLost, "the answer was lost").WithMayHaveRun().WithCause(cause).WithRetryAfter(time.Second)
	fmt.Println(refusal.Status(), refusal.Run, refusal.RetryAfter, errors.Is(refusal, cause))
	// Output: 502 may_have_run 1s true
}

func ExampleFrom() {
	fmt.Println(refuser.From(errors.New("surprise")).Run)
	// Output: may_have_run
}
