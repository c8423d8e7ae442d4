package capacity

import "math"

// Sizes are how many servers each service has, the largest first: the k-th has the largest's size over k to some
// power, and one at least; the power is that at which all together are the fleet. They are no whole numbers.
func Sizes(servers, services, largest float64) []float64 {
	n := int(math.Round(services))
	size := func(k int, power float64) float64 { return max(1, largest*math.Pow(float64(k+1), -power)) }
	low, high := 0.0, 64.0 // of the power: the sum falls from all as large as the largest to one large among ones
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

// sizeWeightedMean is the mean size of a service as a server sees it that is asked for the size of its own: large ones count more
// often.
func sizeWeightedMean(sizes []float64) float64 {
	var sum, squares float64
	for _, n := range sizes {
		sum, squares = sum+n, squares+n*n
	}
	return squares / sum
}
