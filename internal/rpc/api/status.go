package api

// StatusRequest asks any process for its status.
type StatusRequest struct{}

// StatusResponse answers StatusRequest with lines of name and value for operators.
type StatusResponse struct{ Lines []string }
