// Command soak runs the control and traffic code with random faults in a simulation, and tests with mutants which planted faults the checks detect.
package main
