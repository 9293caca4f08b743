package platform

// ServerID exports serverID to tests.
var ServerID = serverID
