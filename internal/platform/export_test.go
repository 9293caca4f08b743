package platform

// ServerID is the module's name of a worker, for tests.
var ServerID = serverID
