package comparer

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/router"
)

const (
	// weightsName is the name of the weights that all engines have loaded.
	weightsName = "weights-1"
	// popularityExponent is the exponent of the power law by which the popularity of documents falls with their rank.
	popularityExponent = 0.9
	// hotPeriods is the number of sets of hot documents that follow each other in a run. FaultShift multiplies it by
	// shiftFactor.
	hotPeriods  = 8
	shiftFactor = 6
	// hotDocuments is the number of documents that are hot at the same time, and hotCallFraction the fraction of
	// interactive calls that use one of them; with FaultShift it is shiftHotCallFraction.
	hotDocuments         = 3
	hotCallFraction      = 0.2
	shiftHotCallFraction = 0.35
	// One in uniqueBlocksOneIn calls extends its document by one or two blocks that no other call has. Every prompt
	// ends with at most maxPartialBlockTokens tokens after its last whole block.
	uniqueBlocksOneIn     = 8
	maxPartialBlockTokens = 1500
)

// document is one prefix of the deepest level, with the prefixes above it.
type document struct {
	account int
	// text has one token for each block of the prefix.
	text  string
	chain []hasher.Block
}

// call is one call of the workload.
type call struct {
	id           int
	due          time.Time
	daemon       int
	account      int
	class        router.Class
	chain        []hasher.Block
	promptTokens int
	answerTokens int
	deadline     time.Time
	warmUp       bool
}

// workload generates the calls of a comparison.
type workload struct {
	deployment Deployment
	random     *rand.Rand
	// documents holds the documents of each account and class, the most popular first.
	documents        [][2][]*document
	cumulativeShares []float64
	lastToken        uint32
}

func newWorkload(settings Settings) *workload {
	w := &workload{
		deployment: settings.Deployment,
		random:     rand.New(rand.NewPCG(settings.Seed, 1)),
	}
	total := 0.0
	for account, share := range w.deployment.AccountShares {
		total += share
		w.cumulativeShares = append(w.cumulativeShares, total)
		w.documents = append(w.documents, w.newAccount(account, share))
	}
	return w
}

// newAccount generates the nested prefixes of an account and returns its documents by class.
func (w *workload) newAccount(account int, share float64) (documents [2][]*document) {
	d := w.deployment
	accountPrefix := w.newText(d.AccountPrefixBlocks)
	groups := max(2, int(math.Round(float64(d.Groups.Count)*share/d.AccountShares[0])))
	for range groups {
		groupPrefix := accountPrefix + w.newText(w.randomBlocks(d.Groups))
		for range d.Documents.Count {
			blocks := w.randomBlocks(d.Documents)
			doc := w.newDocument(account, groupPrefix+w.newText(blocks))
			if blocks <= d.MaxInteractiveBlocks {
				documents[router.ClassInteractive] = append(documents[router.ClassInteractive], doc)
			}
			if blocks >= d.MinDeferrableBlocks {
				documents[router.ClassDeferrable] = append(documents[router.ClassDeferrable], doc)
			}
		}
	}
	for class := range documents {
		w.shuffle(documents[class])
	}
	return documents
}

func (w *workload) shuffle(documents []*document) {
	w.random.Shuffle(len(documents), func(i, j int) {
		documents[i], documents[j] = documents[j], documents[i]
	})
}

func (w *workload) randomBlocks(level Level) int {
	return level.MinBlocks + w.random.IntN(level.MaxBlocks-level.MinBlocks+1)
}

func (w *workload) newDocument(account int, text string) *document {
	return &document{account: account, text: text, chain: w.hashBlocks(account, text)}
}

// newText returns a text with one token for each block. No token occurs in another text.
func (w *workload) newText(blocks int) string {
	text := make([]byte, 0, blocks*hasher.BytesPerToken)
	for range blocks {
		w.lastToken++
		text = binary.BigEndian.AppendUint32(text, w.lastToken)
	}
	return string(text)
}

// hashBlocks returns the block hashes of a text in which each token stands for a block.
func (w *workload) hashBlocks(account int, text string) []hasher.Block {
	return hasher.Blocks(hasher.Seed(accountName(account), weightsName, ""), text, 1)
}

func accountName(account int) string { return fmt.Sprint("account-", account) }

// pickAccount picks an account at random, weighted by the account shares.
func (w *workload) pickAccount() int {
	sample := w.random.Float64() * w.cumulativeShares[len(w.cumulativeShares)-1]
	account, _ := slices.BinarySearch(w.cumulativeShares, sample)
	return min(account, len(w.cumulativeShares)-1)
}

// pickDocument picks a document of an account at random, weighted by popularity.
func (w *workload) pickDocument(account int, class router.Class) *document {
	documents := w.documents[account][class]
	// Inverse transform sampling of a power law with an exponent below one.
	rank := math.Pow(w.random.Float64(), 1/(1-popularityExponent)) * float64(len(documents))
	return documents[min(int(rank), len(documents)-1)]
}

// hotSet is the set of documents that are hot during one period, with their fraction of interactive calls.
type hotSet struct {
	callFraction float64
	documents    [hotDocuments]*document
}

func (w *workload) newHotSet(fault Fault) (hot hotSet) {
	hot.callFraction = hotCallFraction
	if fault == FaultShift {
		hot.callFraction = shiftHotCallFraction
	}
	for i := range hot.documents {
		hot.documents[i] = w.pickHotDocument()
	}
	return hot
}

// pickHotDocument picks an interactive document of a weighted random account, regardless of the document's popularity.
func (w *workload) pickHotDocument() *document {
	documents := w.documents[w.pickAccount()][router.ClassInteractive]
	return documents[w.random.IntN(len(documents))]
}

// newCall draws one call at random.
func (w *workload) newCall(id int, hot hotSet, deferrableFraction float64) *call {
	class := router.ClassInteractive
	if w.random.Float64() < deferrableFraction {
		class = router.ClassDeferrable
	}
	doc := w.pickDocument(w.pickAccount(), class)
	if class == router.ClassInteractive && w.random.Float64() < hot.callFraction {
		doc = hot.documents[w.random.IntN(len(hot.documents))]
	}
	c := &call{
		id:           id,
		daemon:       w.random.IntN(w.deployment.Daemons),
		account:      doc.account,
		class:        class,
		answerTokens: 1 + int(w.random.ExpFloat64()*float64(w.deployment.AnswerTokens)),
	}
	text := doc.text
	if w.random.IntN(uniqueBlocksOneIn) == 0 {
		text += w.newText(1 + w.random.IntN(2))
	}
	c.chain = doc.chain
	if len(text) > len(doc.text) {
		c.chain = w.hashBlocks(doc.account, text)
	}
	c.promptTokens = len(c.chain)*w.deployment.BlockTokens + 1 + w.random.IntN(maxPartialBlockTokens)
	return c
}

// drawCalls draws a number of calls. The hot documents change at even intervals.
func (w *workload) drawCalls(settings Settings, count int) []*call {
	periods := hotPeriods
	if settings.Fault == FaultShift {
		periods *= shiftFactor
	}
	deferrableFraction := settings.Deployment.DeferrableFraction
	addedCallFraction := deferrableFraction * (settings.DeferrableFactor - 1)
	deferrableFraction = (deferrableFraction + addedCallFraction) / (1 + addedCallFraction)
	calls := make([]*call, 0, count)
	var hot hotSet
	for id := range count {
		if id%max(count/periods, 1) == 0 {
			hot = w.newHotSet(settings.Fault)
		}
		calls = append(calls, w.newCall(id, hot, deferrableFraction))
	}
	return calls
}

// warmUpOneIn is the inverse of the fraction of calls at the start of a run that are not measured.
const warmUpOneIn = 8

// scheduledCalls draws the calls of a run. Their due times follow a Poisson process.
func (w *workload) scheduledCalls(settings Settings, capacity float64) []*call {
	calls := w.drawCalls(settings, settings.Requests)
	addedCallFraction := settings.Deployment.DeferrableFraction * (settings.DeferrableFactor - 1)
	rate := capacity * settings.Load * (1 + addedCallFraction)
	due := newClock().Now()
	for i, c := range calls {
		due = due.Add(time.Duration(w.random.ExpFloat64() / rate * float64(time.Second)))
		c.due = due
		c.warmUp = i < len(calls)/warmUpOneIn
		c.deadline = due.Add(settings.Deployment.callTimeout(c.class))
	}
	return calls
}

func (d Deployment) callTimeout(class router.Class) time.Duration {
	if class == router.ClassDeferrable {
		return d.DeferrableTimeout
	}
	return d.InteractiveTimeout
}

// maxSaturatingCalls bounds the number of calls in the measurement of the capacity.
const maxSaturatingCalls = 6000

// saturatingCalls draws calls that are all due at the start, for the measurement of the capacity.
func (w *workload) saturatingCalls(settings Settings) []*call {
	settings.DeferrableFactor = 1
	calls := w.drawCalls(settings, min(maxSaturatingCalls, settings.Requests))
	for i, c := range calls {
		c.due = newClock().Now()
		c.deadline = c.due.Add(24 * time.Hour)
		c.warmUp = i < len(calls)/warmUpOneIn
	}
	return calls
}
