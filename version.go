package quetzalknot

// Version is the release version of the quetzalknot binaries.
const Version = "0.1.0"
