package cmd

// commands returns the subcommands in the order in which the help lists them.
func commands(e *env) []command { return append(operatorCommands(e), toolCommands(e)...) }

// operatorCommands returns the subcommands that work with a running system.
func operatorCommands(e *env) []command {
	return []command{
		{
			"plan", "Show what an intent would change",
			"Reads an intent, an INI file with configuration changes, and prints the plan. Nothing is changed. With --out the plan is saved for confirm.",
			&planCmd{env: e},
		},
		{
			"confirm", "Put a plan in force",
			"Confirms a plan that was saved with plan --out. The host refuses it if the configuration has changed since.",
			&confirmCmd{env: e},
		},
		{
			"apply", "Put an intent in force after confirmation",
			"Shows the plan for an intent, asks for confirmation, and puts it in force.",
			&applyCmd{env: e},
		},
		{
			"status", "Show the state of an entry host",
			"Shows log offsets, owner, peers and counters as one entry host knows them.",
			&statusCmd{env: e},
		},
		{"customers", "Show the customers", "Shows the customers in force.", customersCmd(e)},
		{"guarantees", "Show the guarantees", "Shows the guarantees in force.", guaranteesCmd(e)},
		{"workers", "Show the workers", "Shows the racks and workers in force.", workersCmd(e)},
		{"hosts", "Show the entry hosts", "Shows the entry hosts that one host considers alive.", hostsCmd(e)},
		{
			"drain", "Keep new tasks off workers",
			"Makes a plan under which the workers get no new tasks, shows it, asks for confirmation, and puts it in force. Running tasks continue.",
			&drainCmd{env: e},
		},
		{
			"jobs", "Submit, list, show and cancel jobs",
			"Submits, lists, shows and cancels jobs.",
			&jobsCmd{
				Submit: jobsSubmitCmd{env: e}, List: jobsListCmd{env: e}, Show: jobsShowCmd{env: e}, Cancel: jobsCancelCmd{env: e},
			},
		},
	}
}

// toolCommands returns the subcommands for simulation, load tests, trials and log
// analysis, and those about the program itself.
func toolCommands(e *env) []command {
	return []command{
		{
			"replay", "Compare placement policies on a trace",
			"Replays a recorded or generated trace with simulated workers and a virtual clock.",
			&replayCmd{env: e},
		},
		{
			"experiment", "Compare policies on a model of a site",
			"Simulates a site in virtual time with the owner's scheduling code, each policy with the same seeds, and compares the policies. " +
				"Progress goes to standard error. On an interrupt it prints the results of the simulations completed until then.",
			&experimentCmd{env: e},
		},
		{
			"load", "Send requests at a steady rate and check the answers",
			"Sends requests to entry hosts in an open loop and compares the responses with the ledger of the stand-in backend servers.",
			&loadCmd{env: e},
		},
		{
			"standin", "Run a stand-in of the platform",
			"Runs an in-memory log, workers or backend servers, for trials.",
			&standinCmd{
				Log: standinLogCmd{env: e}, Workers: standinWorkersCmd{env: e}, Backends: standinBackendsCmd{env: e},
			},
		},
		{
			"demo", "Run the whole system for a short time",
			"Runs stand-ins, three entry hosts and a shipped site in this process, with an outage of the log, and prints a report.",
			&demoCmd{env: e},
		},
		{
			"explain", "Show the history of one job or call from the hosts' logs",
			"Reads logs of entry hosts and prints the lines about the job, oldest first.",
			&explainCmd{env: e},
		},
		{"completion", "Print a completion script", "Prints a script for bash.", &completionCmd{env: e}},
		{
			"version", "Show the version",
			"Shows the version of the program and of the record format.",
			&versionCmd{env: e},
		},
	}
}
