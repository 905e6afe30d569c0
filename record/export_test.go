package record

// MarshalConfig exports marshalConfig to tests in package record_test, which can import the packages that read settings.
var MarshalConfig = marshalConfig
