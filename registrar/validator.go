package registrar

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

const maxNameCharacters = 128

const (
	// keyNamePunctuation is allowed in names that become parts of keys on the platform.
	keyNamePunctuation = "._-"
	// namePunctuation is allowed in other names.
	namePunctuation = "._/:@-"

	expectedKeyName     = `a name of at most 128 letters, digits and "._-" that starts with a letter or a digit`
	expectedName        = `a name of at most 128 letters, digits and "._/:@-" that starts with a letter or a digit`
	expectedNonNegative = "a number that is not negative"
)

// IsKeyName reports whether the name may be part of a key on the platform. Names of accounts,
// targets, services, daemons and data centres have this form.
func IsKeyName(name string) bool {
	return isName(name, keyNamePunctuation)
}

// isName reports whether the name starts with a letter or a digit, contains only these and
// the punctuation, and has at most maxNameCharacters characters.
func isName(name, punctuation string) bool {
	if len(name) > maxNameCharacters && utf8.RuneCountInString(name) > maxNameCharacters {
		return false
	}
	for i, r := range name {
		if unicode.IsLetter(r) || unicode.IsNumber(r) {
			continue
		}
		if i == 0 || r == utf8.RuneError || !strings.ContainsRune(punctuation, r) {
			return false
		}
	}
	return name != ""
}

// Validate checks a complete configuration: names, references between objects, values, and
// that every selector can match a request to a target. It returns an InvalidError with all
// violations.
func Validate(objects Objects) (err error) {
	defer Error.WrapP(&err)
	v := &validator{objects: objects, index: newNameIndex(objects)}
	v.checkAccounts()
	v.checkModels()
	v.checkVersions()
	v.checkTargets()
	v.checkServices()
	v.checkSelectors()
	if len(v.violations) == 0 {
		return nil
	}
	return &InvalidError{Violations: v.violations}
}

// validator collects the violations of a configuration.
type validator struct {
	objects    Objects
	index      nameIndex
	violations []Violation
}

// checkedObject identifies the object that is being checked.
type checkedObject struct {
	validator *validator
	kind      Kind
	index     int
	name      string
}

func (s checkedObject) report(field, found, expected string) {
	s.validator.violations = append(s.validator.violations, Violation{
		Kind:     s.kind,
		Index:    s.index,
		Name:     s.name,
		Field:    field,
		Found:    found,
		Expected: expected,
	})
}

// nameChecker checks that names are well formed and unique.
type nameChecker struct {
	punctuation string
	expected    string
	seen        map[string]bool
}

// newNameChecker returns a checker with room for count names.
func newNameChecker(punctuation, expected string, count int) *nameChecker {
	return &nameChecker{punctuation: punctuation, expected: expected, seen: make(map[string]bool, count)}
}

func (n *nameChecker) check(s checkedObject, field, name string) {
	if !isName(name, n.punctuation) {
		s.report(field, strconv.Quote(name), n.expected)
	}
	if n.seen[name] {
		s.report(field, strconv.Quote(name)+" again", "each name once")
	}
	n.seen[name] = true
}

func (s checkedObject) checkNonNegative(field string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		s.report(field, fmt.Sprint(value), expectedNonNegative)
	}
}

func (s checkedObject) checkLimits(limits Limits) {
	s.checkNonNegative("limits.requests_per_second", limits.RequestsPerSecond)
	s.checkNonNegative("limits.tokens_per_second", limits.TokensPerSecond)
	s.checkNonNegative("limits.max_concurrent", float64(limits.MaxConcurrent))
	s.checkNonNegative("limits.share", limits.FairShareWeight)
}

func (v *validator) checkAccounts() {
	accountNames := newNameChecker(keyNamePunctuation, expectedKeyName, len(v.objects.Accounts))
	owners := make(map[KeyDigest]string, len(v.objects.Accounts))
	for i := range v.objects.Accounts {
		account := &v.objects.Accounts[i]
		s := checkedObject{validator: v, kind: KindAccount, index: i, name: account.Name}
		accountNames.check(s, "name", account.Name)
		s.checkLimits(account.Limits)
		s.checkDigests(account.KeyDigests, owners)
		class, given := account.Labels[LabelClass]
		if given && class != ClassInteractive && class != ClassDeferrable {
			s.report("labels."+LabelClass, strconv.Quote(class), `"interactive" or "deferrable"`)
		}
	}
}

func (s checkedObject) checkDigests(digests []KeyDigest, owners map[KeyDigest]string) {
	for i, digest := range digests {
		owner, duplicate := owners[digest]
		if duplicate {
			s.report(fmt.Sprintf("key_digests[%d]", i), "the key digest of the account "+strconv.Quote(owner), "a digest that no account has")
			continue
		}
		owners[digest] = s.name
	}
}

func (v *validator) checkModels() {
	modelNames := newNameChecker(namePunctuation, expectedName, len(v.objects.Models))
	for i := range v.objects.Models {
		model := &v.objects.Models[i]
		s := checkedObject{validator: v, kind: KindModel, index: i, name: model.Name}
		modelNames.check(s, "name", model.Name)
		if model.BlockTokens <= 0 {
			s.report("block_tokens", strconv.Itoa(model.BlockTokens), "a positive number of tokens")
		}
		s.checkNonNegative("max_context_tokens", float64(model.MaxContextTokens))
		s.checkNonNegative("routing.wait", model.Routing.Wait)
		s.checkNonNegative("routing.recomputation", model.Routing.Recomputation)
		s.checkNonNegative("routing.idle_load", model.Routing.IdleLoad)
		if model.DefaultVersion != "" && !v.index.hasVersion(model.DefaultVersion, model.Name) {
			s.report("default_version", strconv.Quote(model.DefaultVersion), "a version of the model")
		}
	}
}

func (v *validator) checkVersions() {
	versionNames := newNameChecker(namePunctuation, expectedName, len(v.objects.Versions))
	for i := range v.objects.Versions {
		version := &v.objects.Versions[i]
		s := checkedObject{validator: v, kind: KindVersion, index: i, name: version.Name}
		versionNames.check(s, "name", version.Name)
		if !v.index.models[version.Model] {
			s.report("model", strconv.Quote(version.Model), "the name of a model")
		}
		if version.Weights == "" {
			s.report("weights", `""`, "the name of weights in the weight store")
		}
	}
}
