package record

// MarshalConfig is marshalConfig for tests outside the package, which may import what reads configurations.
var MarshalConfig = marshalConfig
