package event

// Events of the configuration and its distribution to the VMs.
var (
	ConfigurationInForce = define(401, "configuration in force",
		"The router applied a higher revision. Fields: revision, source, partsRead.")
	ConfigurationNotNewer = define(402, "configuration not newer",
		"A manifest with a revision that is not higher was ignored. Fields: revision, inForce, source.")
	ConfigurationSourceLost = define(403, "configuration source lost",
		"The key-value service or a peer did not answer; the router keeps its revision and retries. Fields: source, retryAfter, error.")
	ConfigurationUnreadable = define(404, "configuration unreadable",
		"A manifest or a part could not be read or did not match its digest; the router keeps its revision. Fields: revision, source, error.")
	ConfigurationNotFound = define(405, "configuration not found",
		"Neither the key-value service nor a peer has provided a configuration yet; the router is not ready. Field: sources.")
	ConfigurationSourceChosen = define(406, "configuration source chosen",
		"The router switched to another source of revisions. Fields: source, reason.")
	AnswersApplied = define(420, "answers applied",
		"A revision was written to the key-value service and is in force. Fields: revision, applyID, partsWritten.")
	AnswersConflict = define(421, "answers in conflict",
		"Answers were refused because others had been applied after the revision they are based on. Fields: base, inForce, applyID.")
	ApplyOutcomeUnknown = define(422, "outcome of applying answers unknown",
		"The key-value service did not say whether the revision was put in force; the apply identifier is looked up. Fields: revision, applyID.")
	ConfigurationPartsRemoved = define(423, "old configuration parts removed",
		"Configuration parts that no retained revision references were removed. Fields: removed, kept.")
)
