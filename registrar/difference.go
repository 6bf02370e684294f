package registrar

import "reflect"

// Difference returns the change that turns one configuration into another. It is empty if
// they are equal.
func Difference(from, to Objects) (change Change) {
	r := &change.Remove
	change.Set.Accounts = diffList(KindAccount, from.Accounts, to.Accounts, accountName, r)
	change.Set.Models = diffList(KindModel, from.Models, to.Models, modelName, r)
	change.Set.Versions = diffList(KindVersion, from.Versions, to.Versions, versionName, r)
	change.Set.Targets = diffList(KindTarget, from.Targets, to.Targets, targetName, r)
	change.Set.Services = diffList(KindService, from.Services, to.Services, serviceName, r)
	change.Set.Selectors = diffList(KindSelector, from.Selectors, to.Selectors, selectorName, r)
	return change
}

// References returns references to all objects, grouped by kind.
func (o Objects) References() []Reference {
	var references []Reference
	references = appendReferences(references, KindAccount, o.Accounts, accountName)
	references = appendReferences(references, KindModel, o.Models, modelName)
	references = appendReferences(references, KindVersion, o.Versions, versionName)
	references = appendReferences(references, KindTarget, o.Targets, targetName)
	references = appendReferences(references, KindService, o.Services, serviceName)
	references = appendReferences(references, KindSelector, o.Selectors, selectorName)
	return references
}

// IsEmpty reports whether the change sets and removes nothing.
func (c Change) IsEmpty() bool {
	return len(c.Remove) == 0 && len(c.Set.References()) == 0
}

func accountName(a *Account) string   { return a.Name }
func modelName(m *Model) string       { return m.Name }
func versionName(v *Version) string   { return v.Name }
func targetName(t *Target) string     { return t.Name }
func serviceName(s *Service) string   { return s.Name }
func selectorName(s *Selector) string { return s.Name }

// diffList returns the objects of the list after that are missing from the list before or have
// other values there. For each object that is missing from after, it appends a reference to
// *remove.
func diffList[T any](kind Kind, before, after []T, name func(*T) string, remove *[]Reference) (set []T) {
	indexBefore := indexByName(before, name)
	for i := range after {
		index, found := indexBefore[name(&after[i])]
		if !found || !reflect.DeepEqual(before[index], after[i]) {
			set = append(set, after[i])
		}
	}
	indexAfter := indexByName(after, name)
	for i := range before {
		if _, kept := indexAfter[name(&before[i])]; !kept {
			*remove = append(*remove, Reference{Kind: kind, Name: name(&before[i])})
		}
	}
	return set
}

func indexByName[T any](list []T, name func(*T) string) map[string]int {
	indexes := make(map[string]int, len(list))
	for i := range list {
		indexes[name(&list[i])] = i
	}
	return indexes
}

func appendReferences[T any](references []Reference, kind Kind, list []T, name func(*T) string) []Reference {
	for i := range list {
		references = append(references, Reference{Kind: kind, Name: name(&list[i])})
	}
	return references
}

// Select returns the object that the reference names, or all objects of its kind if the name
// is empty.
func (o Objects) Select(reference Reference) (selected Objects) {
	switch reference.Kind {
	case KindAccount:
		selected.Accounts = selectNamed(o.Accounts, reference.Name, accountName)
	case KindModel:
		selected.Models = selectNamed(o.Models, reference.Name, modelName)
	case KindVersion:
		selected.Versions = selectNamed(o.Versions, reference.Name, versionName)
	case KindTarget:
		selected.Targets = selectNamed(o.Targets, reference.Name, targetName)
	case KindService:
		selected.Services = selectNamed(o.Services, reference.Name, serviceName)
	case KindSelector:
		selected.Selectors = selectNamed(o.Selectors, reference.Name, selectorName)
	}
	return selected
}

func selectNamed[T any](list []T, wanted string, name func(*T) string) []T {
	if wanted == "" {
		return list
	}
	for i := range list {
		if name(&list[i]) == wanted {
			return list[i : i+1]
		}
	}
	return nil
}
