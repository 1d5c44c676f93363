package recorder

// SetStoreEra records the era of the store: how often it has been restored from a copy.
func (recorder *Recorder) SetStoreEra(era uint64) {
	recorder.scope.Gauge("store_era").Update(float64(era))
}
