package main

import (
	"flag"
	"fmt"
	"os"

	"lagoonlanding.example/slopes/measurer"
)

func main() {
	port := flag.Int("port", 26400, "unused loopback port for the renewal messages")
	flag.Parse()
	if err := run(*port); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(port int) error {
	for _, measure := range []func() error{printSteady, printDirectory, func() error { return printMessage(port) }, printSet} {
		if err := measure(); err != nil {
			return err
		}
	}
	return nil
}

func printSteady() error {
	fmt.Println("steady state of a group, CPU time per second (control code with snapshots, without message transport):")
	for _, size := range [][3]int{{4, 64, 1}, {8, 64, 1}, {16, 64, 1}, {20, 64, 1}, {16, 256, 1}, {16, 512, 1}, {16, 256, 45}, {16, 256, 90}, {16, 256, 180}} {
		result, err := measurer.MeasureSteady(size[0], size[1], size[2])
		if err != nil {
			return err
		}
		fmt.Printf("  members %2d shards %3d groups %3d: coordinator %8v witness %8v member %8v, renewals at a witness %4.1f/s, store calls %d\n",
			result.Members(), result.Shards(), result.Groups(),
			result.CoordinatorTime(), result.WitnessTime(), result.MemberTime(), result.Renewals(), result.StoreCalls())
	}
	return nil
}

func printDirectory() error {
	fmt.Println("directory of all groups in one daemon:")
	for _, size := range [][3]int{{45, 16, 256}, {90, 16, 256}, {180, 16, 256}, {180, 8, 256}, {180, 16, 64}, {180, 16, 512}} {
		result, err := measurer.MeasureDirectory(size[0], size[1], size[2])
		if err != nil {
			return err
		}
		fmt.Printf("  groups %3d members %2d shards %3d: record %5d B, memory %6.2f MB, applying one change %v\n",
			result.Groups(), result.Members(), result.Shards(), result.RecordBytes(), float64(result.HeapBytes())/1e6, result.ApplyTime())
	}
	return nil
}

func printMessage(port int) error {
	fmt.Println("one renewal with its reply:")
	for _, loads := range []int{0, 4, 8, 16} {
		result, err := measurer.MeasureMessage(loads, port)
		if err != nil {
			return err
		}
		fmt.Printf("  loads %2d: sent %5.1f B, received %5.1f B, CPU time of both sides %v\n",
			result.Loads(), result.SentBytes(), result.ReceivedBytes(), result.CPUTime())
	}
	return nil
}

func printSet() error {
	fmt.Println("size of the encoded published set:")
	for _, tenants := range []int{0, 1000, 4000, 16000} {
		size, err := measurer.SetBytes(tenants)
		if err != nil {
			return err
		}
		fmt.Printf("  tenants %5d: %d B\n", tenants, size)
	}
	return nil
}
