package quetzalknot

// Version is the release of both binaries.
const Version = "0.1.0"
