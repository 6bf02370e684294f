package registrar

import (
	"cmp"
	"slices"
)

// Apply returns the objects with the change applied and leaves o unmodified. The objects that
// the change sets replace those of the same name. The removals are applied first, so an object
// that the change both removes and sets is in the result. Lists that the change modifies are
// copied and sorted by name; the other lists are shared with o.
func (o Objects) Apply(change Change) Objects {
	removed := removedNames(change.Remove)
	return Objects{
		Accounts:  applyToList(o.Accounts, change.Set.Accounts, removed[KindAccount], accountName),
		Models:    applyToList(o.Models, change.Set.Models, removed[KindModel], modelName),
		Versions:  applyToList(o.Versions, change.Set.Versions, removed[KindVersion], versionName),
		Targets:   applyToList(o.Targets, change.Set.Targets, removed[KindTarget], targetName),
		Services:  applyToList(o.Services, change.Set.Services, removed[KindService], serviceName),
		Selectors: applyToList(o.Selectors, change.Set.Selectors, removed[KindSelector], selectorName),
	}
}

// MergeChanges returns one change with the same effect as applying the changes in order. It
// has no author and no comment.
func MergeChanges(changes ...Change) Change {
	var merged Change
	seen := map[Reference]bool{}
	for _, change := range slices.Backward(changes) {
		set := change.Set
		merged.Set.Accounts = appendNew(merged.Set.Accounts, set.Accounts, seen, KindAccount, accountName)
		merged.Set.Models = appendNew(merged.Set.Models, set.Models, seen, KindModel, modelName)
		merged.Set.Versions = appendNew(merged.Set.Versions, set.Versions, seen, KindVersion, versionName)
		merged.Set.Targets = appendNew(merged.Set.Targets, set.Targets, seen, KindTarget, targetName)
		merged.Set.Services = appendNew(merged.Set.Services, set.Services, seen, KindService, serviceName)
		merged.Set.Selectors = appendNew(merged.Set.Selectors, set.Selectors, seen, KindSelector, selectorName)
		for _, reference := range change.Remove {
			if !seen[reference] {
				seen[reference] = true
				merged.Remove = append(merged.Remove, reference)
			}
		}
	}
	return merged
}

// appendNew appends the objects of set that are not in seen, and adds them to seen. It goes
// backward, so that the last object of a name wins.
func appendNew[T any](list, set []T, seen map[Reference]bool, kind Kind, name func(*T) string) []T {
	for i := range slices.Backward(set) {
		reference := Reference{Kind: kind, Name: name(&set[i])}
		if !seen[reference] {
			seen[reference] = true
			list = append(list, set[i])
		}
	}
	return list
}

// References returns references to the objects that the change sets or removes, each once,
// sorted by kind and name.
func (c Change) References() []Reference {
	references := slices.Concat(c.Remove, c.Set.References())
	slices.SortFunc(references, compareReferences)
	return slices.Compact(references)
}

func compareReferences(a, b Reference) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func removedNames(references []Reference) map[Kind][]string {
	removed := map[Kind][]string{}
	for _, reference := range references {
		removed[reference.Kind] = append(removed[reference.Kind], reference.Name)
	}
	return removed
}

// applyToList returns a sorted copy of the list without the removed names and with the
// objects of set, or the list itself if there is nothing to change.
func applyToList[T any](list, set []T, removed []string, name func(*T) string) []T {
	if len(set) == 0 && len(removed) == 0 {
		return list
	}
	merged := sortedClone(list, name)
	for _, removedName := range removed {
		if index, found := search(merged, removedName, name); found {
			merged = slices.Delete(merged, index, index+1)
		}
	}
	for i := range set {
		index, found := search(merged, name(&set[i]), name)
		if found {
			merged[index] = set[i]
			continue
		}
		merged = slices.Insert(merged, index, set[i])
	}
	return merged
}

// sortedClone copies the list and sorts the copy by name, unless it is sorted already.
func sortedClone[T any](list []T, name func(*T) string) []T {
	sorted := slices.Clone(list)
	for i := 1; i < len(sorted); i++ {
		if name(&sorted[i-1]) > name(&sorted[i]) {
			slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(&a), name(&b)) })
			break
		}
	}
	return sorted
}

// search returns the index of the object with the wanted name in the list, which is sorted by
// name. If there is no such object, it returns the index at which to insert one.
func search[T any](list []T, wanted string, name func(*T) string) (index int, found bool) {
	low, high := 0, len(list)
	for low < high {
		middle := (low + high) / 2
		if name(&list[middle]) < wanted {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, low < len(list) && name(&list[low]) == wanted
}
