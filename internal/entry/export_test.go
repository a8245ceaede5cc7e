package entry

// OddEntries calls do for each odd entry of the list of workers.
var OddEntries = oddEntries
