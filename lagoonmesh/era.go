package main

// beginEra records a later era of the store, which was restored from a copy.
func (daemon *daemon) beginEra(era uint64) {
	daemon.recorder.SetStoreEra(era)
	daemon.syncer.EraBegan(era)
}
