package capacity

import "math"

// Sizes returns the number of servers of each service, the largest first. The k-th service has the size of the largest divided by
// a power of k, but at least 1. The exponent is chosen so that the sizes add up to the given number of servers. The sizes are not
// whole numbers.
func Sizes(servers, services, largest float64) []float64 {
	n := int(math.Round(services))
	size := func(k int, power float64) float64 { return max(1, largest*math.Pow(float64(k+1), -power)) }
	low, high := 0.0, 64.0 // bounds of the exponent: at 0 all services are as large as the largest, at 64 all others have one server
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

// sizeWeightedMean returns the mean, over all servers, of the size of the server's service: a service counts once for each of its
// servers.
func sizeWeightedMean(sizes []float64) float64 {
	var sum, squares float64
	for _, n := range sizes {
		sum, squares = sum+n, squares+n*n
	}
	return squares / sum
}
