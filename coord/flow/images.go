package flow

import "slices"

// maxFillerImages limits the images that are distinguished, because the models grow with their square.
const maxFillerImages = 48

// imageIndex numbers the images of fillers. Images beyond maxFillerImages share the last number.
type imageIndex struct {
	numbers map[string]int
	names   []string
}

// of returns the number of an image.
func (x *imageIndex) of(image string) int {
	if n, known := x.numbers[image]; known {
		return n
	}
	if len(x.names) >= maxFillerImages {
		return maxFillerImages - 1
	}
	n := len(x.names)
	x.numbers[image] = n
	x.names = append(x.names, image)
	return n
}

// imageAmount is an amount of something that belongs to a filler image, such as processor time.
type imageAmount struct {
	image  int
	amount float64
}

// imageAmounts holds an amount for each of a few images.
type imageAmounts []imageAmount

// add adds to the amount of an image, and removes it if less than a threshold is left.
func (a *imageAmounts) add(image int, amount, threshold float64) {
	at := slices.IndexFunc(*a, func(x imageAmount) bool { return x.image == image })
	if at < 0 {
		at = len(*a)
		*a = append(*a, imageAmount{image: image})
	}
	(*a)[at].amount += amount
	if (*a)[at].amount < threshold {
		*a = slices.Delete(*a, at, at+1)
	}
}
