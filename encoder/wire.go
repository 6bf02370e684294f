package encoder

type wireObjects struct {
	Accounts  []wireAccount  `json:"accounts,omitempty"`
	Models    []wireModel    `json:"models,omitempty"`
	Versions  []wireVersion  `json:"versions,omitempty"`
	Targets   []wireTarget   `json:"targets,omitempty"`
	Services  []wireService  `json:"services,omitempty"`
	Selectors []wireSelector `json:"selectors,omitempty"`
}

type wireChange struct {
	Set     wireObjects     `json:"set"`
	Remove  []wireReference `json:"remove,omitempty"`
	Author  string          `json:"author,omitempty"`
	Comment string          `json:"comment,omitempty"`
}

type wireReference struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

type wireLimits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	MaxConcurrent     int     `json:"max_concurrent,omitempty"`
	Share             float64 `json:"share,omitempty"`
}

type wireAccount struct {
	Name       string            `json:"name"`
	Labels     map[string]string `json:"labels,omitempty"`
	KeyDigests []string          `json:"key_digests,omitempty"`
	Limits     wireLimits        `json:"limits,omitzero"`
}

type wireRouting struct {
	Wait          float64 `json:"wait,omitempty"`
	Recomputation float64 `json:"recomputation,omitempty"`
	IdleLoad      float64 `json:"idle_load,omitempty"`
}

type wireModel struct {
	Name             string            `json:"name"`
	Labels           map[string]string `json:"labels,omitempty"`
	DefaultVersion   string            `json:"default_version,omitempty"`
	BlockTokens      int               `json:"block_tokens,omitempty"`
	MaxContextTokens int               `json:"max_context_tokens,omitempty"`
	Routing          wireRouting       `json:"routing,omitzero"`
}

type wireVersion struct {
	Name    string            `json:"name"`
	Labels  map[string]string `json:"labels,omitempty"`
	Model   string            `json:"model,omitempty"`
	Weights string            `json:"weights,omitempty"`
	Adapter string            `json:"adapter,omitempty"`
}

type wireTarget struct {
	Name          string            `json:"name"`
	Labels        map[string]string `json:"labels,omitempty"`
	Kind          string            `json:"kind,omitempty"`
	Address       string            `json:"address,omitempty"`
	DataCentre    string            `json:"data_centre,omitempty"`
	Model         string            `json:"model,omitempty"`
	Service       string            `json:"service,omitempty"`
	ChecksFencing bool              `json:"checks_fencing,omitempty"`
	Slots         int               `json:"slots,omitempty"`
}

type wireOperation struct {
	Name       string `json:"name"`
	Method     string `json:"method,omitempty"`
	Path       string `json:"path,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Timeout    string `json:"timeout,omitempty"`
}

type wireService struct {
	Name       string            `json:"name"`
	Labels     map[string]string `json:"labels,omitempty"`
	Operations []wireOperation   `json:"operations,omitempty"`
	LookupPath string            `json:"lookup_path,omitempty"`
}

// wireRequirement has exactly one of the fields Equals, In, NotIn and Exists set.
type wireRequirement struct {
	On     string   `json:"on"`
	Key    string   `json:"key"`
	Equals *string  `json:"equals,omitempty"`
	In     []string `json:"in,omitzero"`
	NotIn  []string `json:"not_in,omitzero"`
	Exists bool     `json:"exists,omitempty"`
}

type wireSelector struct {
	Name     string            `json:"name"`
	Labels   map[string]string `json:"labels,omitempty"`
	Priority int               `json:"priority,omitempty"`
	Effect   string            `json:"effect,omitempty"`
	Match    []wireRequirement `json:"match,omitempty"`
	Limits   wireLimits        `json:"limits,omitzero"`
}
