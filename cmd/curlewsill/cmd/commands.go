package cmd

// commands lists the subcommands in the order of the help.
func commands(e *env) []command { return append(operating(e), trying(e)...) }

// operating lists those that work with a system.
func operating(e *env) []command {
	return []command{
		{
			"plan", "Show what an intent would change",
			"Reads an intent (INI) and prints the plan. Nothing is changed. With --out the plan is kept for confirm.",
			&planCmd{env: e},
		},
		{
			"confirm", "Put a plan in force",
			"Confirms a plan that was kept with plan --out. It is refused if the configuration has changed since.",
			&confirmCmd{env: e},
		},
		{
			"apply", "Plan, show, ask, confirm",
			"Shows the plan for an intent, asks, and confirms it.",
			&applyCmd{env: e},
		},
		{
			"status", "Show what a host believes",
			"Shows offsets, owner, peers and counters of one entry host.",
			&statusCmd{env: e},
		},
		{"customers", "Show the customers", "Shows the customers in force.", customersCmd(e)},
		{"guarantees", "Show the guarantees", "Shows the guarantees in force.", guaranteesCmd(e)},
		{"workers", "Show the workers", "Shows the racks and workers in force.", workersCmd(e)},
		{"hosts", "Show the entry hosts", "Shows the entry hosts that one host takes to be up.", hostsCmd(e)},
		{
			"drain", "Keep new tasks off workers",
			"Plans, shows, asks and confirms that workers get no new tasks. Running ones stay.",
			&drainCmd{env: e},
		},
		{
			"jobs", "Submit, list, show and cancel jobs",
			"Works with jobs.",
			&jobsCmd{
				Submit: jobsSubmitCmd{env: e}, List: jobsListCmd{env: e}, Show: jobsShowCmd{env: e}, Cancel: jobsCancelCmd{env: e},
			},
		},
	}
}

// trying lists those that play, try and explain one, and those about the program itself.
func trying(e *env) []command {
	return []command{
		{
			"replay", "Compare placement policies on a trace",
			"Replays a recorded or generated list of events with fake workers and a virtual clock.",
			&replayCmd{env: e},
		},
		{
			"experiment", "Compare policies on a model of a site",
			"Plays a site in virtual time under the owner's own decisions, each policy with the same seeds, and compares them. " +
				"Progress goes to standard error. On an interrupt it prints what was played until then.",
			&experimentCmd{env: e},
		},
		{
			"load", "Send requests at a steady rate and check the answers",
			"Sends requests to entry hosts, open loop, and compares the answers with the ledger of the stand-in backend servers.",
			&loadCmd{env: e},
		},
		{
			"standin", "Run a stand-in of the platform",
			"Runs the log, the workers or the backend servers in memory, for trials.",
			&standinCmd{
				Log: standinLogCmd{env: e}, Workers: standinWorkersCmd{env: e}, Backends: standinBackendsCmd{env: e},
			},
		},
		{
			"demo", "Run the whole system for a moment",
			"Runs stand-ins, three entry hosts and a shipped site in this process, with an outage of the log, and reports.",
			&demoCmd{env: e},
		},
		{
			"explain", "Show one job's history from the hosts' logs",
			"Reads logs of entry hosts and prints the lines that have the job, oldest first.",
			&explainCmd{env: e},
		},
		{"completion", "Print a completion script", "Prints a script for bash.", &completionCmd{env: e}},
		{
			"version", "Show the version",
			"Shows the version and the formats it speaks.",
			&versionCmd{env: e},
		},
	}
}
