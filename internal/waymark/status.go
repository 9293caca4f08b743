package waymark

// AskStatus asks any process for its status.
type AskStatus struct{}

// Status answers AskStatus with lines of name and value for operators.
type Status struct{ Lines []string }
