package main

import (
	"flag"
	"fmt"
	"os"

	"lagoonlanding.example/slopes/sizer"
)

func main() {
	port := flag.Int("port", 26400, "a free port of this machine")
	flag.Parse()
	if err := run(*port); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(port int) error {
	for _, measure := range []func() error{steady, directory, func() error { return message(port) }, set} {
		if err := measure(); err != nil {
			return err
		}
	}
	return nil
}

func steady() error {
	fmt.Println("steady state of a group, processor time for each second (control code with snapshots, without carriage):")
	for _, size := range [][3]int{{4, 64, 1}, {8, 64, 1}, {16, 64, 1}, {20, 64, 1}, {16, 256, 1}, {16, 512, 1}, {16, 256, 45}, {16, 256, 90}, {16, 256, 180}} {
		result, err := sizer.MeasureSteady(size[0], size[1], size[2])
		if err != nil {
			return err
		}
		fmt.Printf("  members %2d shards %3d groups %3d: coordinator %8v witness %8v member %8v, renewals at a witness %4.1f/s, store calls %d\n",
			result.Members(), result.Shards(), result.Groups(),
			result.Coordinator(), result.Witness(), result.Member(), result.Renewals(), result.StoreCalls())
	}
	return nil
}

func directory() error {
	fmt.Println("directory of all groups at one daemon:")
	for _, size := range [][3]int{{45, 16, 256}, {90, 16, 256}, {180, 16, 256}, {180, 8, 256}, {180, 16, 64}, {180, 16, 512}} {
		result, err := sizer.MeasureDirectory(size[0], size[1], size[2])
		if err != nil {
			return err
		}
		fmt.Printf("  groups %3d members %2d shards %3d: record %5d B, memory %6.2f MB, learning one change %v\n",
			result.Groups(), result.Members(), result.Shards(), result.RecordBytes(), float64(result.Heap())/1e6, result.Learn())
	}
	return nil
}

func message(port int) error {
	fmt.Println("one renewal with its answer:")
	for _, loads := range []int{0, 4, 8, 16} {
		result, err := sizer.MeasureMessage(loads, port)
		if err != nil {
			return err
		}
		fmt.Printf("  loads %2d: sent %5.1f B, received %5.1f B, processor time of both sides %v\n",
			result.Loads(), result.Sent(), result.Received(), result.Processor())
	}
	return nil
}

func set() error {
	fmt.Println("the whole published set, encoded:")
	for _, tenants := range []int{0, 1000, 4000, 16000} {
		size, err := sizer.SetBytes(tenants)
		if err != nil {
			return err
		}
		fmt.Printf("  tenants %5d: %d B\n", tenants, size)
	}
	return nil
}
