package registrar

// Snapshot is the immutable configuration at one revision.
type Snapshot struct {
	revision      Revision
	objects       Objects
	accounts      map[string]*Account
	accountsByKey map[KeyDigest]*Account
	models        map[string]*Model
	versions      map[string]*Version
	targets       map[string]*Target
	services      map[string]*Service
	matcher       *matcher
}

// NewSnapshot returns a snapshot of the objects. They must not be modified afterwards.
func NewSnapshot(revision Revision, objects Objects) (snapshot *Snapshot, err error) {
	defer Error.WrapP(&err)
	s := &Snapshot{
		revision:      revision,
		objects:       objects,
		accounts:      make(map[string]*Account, len(objects.Accounts)),
		accountsByKey: make(map[KeyDigest]*Account, len(objects.Accounts)),
		models:        make(map[string]*Model, len(objects.Models)),
		versions:      make(map[string]*Version, len(objects.Versions)),
		targets:       make(map[string]*Target, len(objects.Targets)),
		services:      make(map[string]*Service, len(objects.Services)),
	}
	for i := range objects.Accounts {
		account := &objects.Accounts[i]
		s.accounts[account.Name] = account
		for _, digest := range account.KeyDigests {
			s.accountsByKey[digest] = account
		}
	}
	for i := range objects.Models {
		s.models[objects.Models[i].Name] = &objects.Models[i]
	}
	for i := range objects.Versions {
		s.versions[objects.Versions[i].Name] = &objects.Versions[i]
	}
	for i := range objects.Targets {
		s.targets[objects.Targets[i].Name] = &objects.Targets[i]
	}
	for i := range objects.Services {
		s.services[objects.Services[i].Name] = &objects.Services[i]
	}
	s.matcher = newMatcher(s)
	return s, nil
}

// Revision returns the revision of the snapshot.
func (s *Snapshot) Revision() Revision { return s.revision }

// Objects returns all objects; they must not be modified.
func (s *Snapshot) Objects() Objects { return s.objects }

// AccountByKey returns the account with the key digest.
func (s *Snapshot) AccountByKey(digest KeyDigest) (account *Account, ok bool) {
	account, ok = s.accountsByKey[digest]
	return account, ok
}

// Account returns the account with the name.
func (s *Snapshot) Account(name string) (account *Account, ok bool) {
	account, ok = s.accounts[name]
	return account, ok
}

// Model returns the model with the name.
func (s *Snapshot) Model(name string) (model *Model, ok bool) {
	model, ok = s.models[name]
	return model, ok
}

// Version returns the version with the name.
func (s *Snapshot) Version(name string) (version *Version, ok bool) {
	version, ok = s.versions[name]
	return version, ok
}

// Target returns the target with the name.
func (s *Snapshot) Target(name string) (target *Target, ok bool) {
	target, ok = s.targets[name]
	return target, ok
}

// Service returns the service with the name.
func (s *Snapshot) Service(name string) (service *Service, ok bool) {
	service, ok = s.services[name]
	return service, ok
}
