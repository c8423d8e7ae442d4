package capacity

import "math"

// Sizes returns how many servers each service has, the largest first: the k-th has the largest's size divided by a power of k, and at least
// one. The exponent is chosen so that all together have the given number of servers. The sizes are not whole numbers.
func Sizes(servers, services, largest float64) []float64 {
	n := int(math.Round(services))
	size := func(k int, power float64) float64 { return max(1, largest*math.Pow(float64(k+1), -power)) }
	low, high := 0.0, 64.0 // the exponent: at 0 all are as large as the largest, at 64 all others have one server
	for range 60 {
		mid, sum := (low+high)/2, 0.0
		for k := 0; k < n && sum <= servers; k++ {
			sum += size(k, mid)
		}
		if sum > servers {
			low = mid
		} else {
			high = mid
		}
	}
	all := make([]float64, n)
	for k := range all {
		all[k] = size(k, high)
	}
	return all
}

// sizeWeightedMean is the mean size of the service of a server: large services count for each of their servers.
func sizeWeightedMean(sizes []float64) float64 {
	var sum, squares float64
	for _, n := range sizes {
		sum, squares = sum+n, squares+n*n
	}
	return squares / sum
}
