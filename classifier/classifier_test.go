package classifier_test

import (
	"testing"

	"github.com/rosemaryrill/rosemaryrill/classifier"
)

func TestStatusesAreClassified(t *testing.T) {
	for status, want := range map[int]classifier.Class{
		-1: classifier.None, 0: classifier.None, 20: classifier.None, 99: classifier.None, 101: classifier.None, 600: classifier.None, 999: classifier.None,
		100: classifier.Informational, 102: classifier.Informational, 103: classifier.Informational, 199: classifier.Informational,
		200: classifier.Final, 304: classifier.Final, 413: classifier.Final, 503: classifier.Final, 599: classifier.Final,
	} {
		if got := classifier.Classify(status); got != want {
			t.Errorf("%d is of class %d, want %d", status, got, want)
		}
	}
}
