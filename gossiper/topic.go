package gossiper

// FuncTopic implements Topic with functions.
type FuncTopic struct {
	TopicName  string
	ExportFunc func(limit int) []byte
	ImportFunc func(from Member, data []byte)
}

// Name implements Topic.
func (f FuncTopic) Name() string { return f.TopicName }

// Export implements Topic.
func (f FuncTopic) Export(limit int) []byte { return f.ExportFunc(limit) }

// Import implements Topic.
func (f FuncTopic) Import(from Member, data []byte) { f.ImportFunc(from, data) }
