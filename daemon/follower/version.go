package follower

import (
	"fmt"
	"strconv"
)

// Version orders all changes of all rows. A register that is restored from a copy gives out its
// numbers again, and names another era each time: a version is above all of earlier eras.
// Versions are compared as integers; 0 is below all.
type Version int64

// numberBits is the number of lower bits of a Version that hold the register's number, and
// maxNumber and maxEra are the largest values of both parts.
const (
	numberBits = 44
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(63-numberBits) - 1
)

// NewVersion returns the version of a number of the register in an era, 0 for a register that
// names none. It fails if one of them is out of range.
func NewVersion(era, number int64) (v Version, err error) {
	if era < 0 || era > maxEra || number < 0 || number > maxNumber {
		return 0, fmt.Errorf("version %d of era %d is out of range", number, era)
	}
	return Version(era<<numberBits | number), nil
}

// Era returns the era of the register.
func (v Version) Era() int64 { return int64(v) >> numberBits }

// Number returns the number that the register has given out.
func (v Version) Number() int64 { return int64(v) & maxNumber }

// String returns the era and the number.
func (v Version) String() string {
	return strconv.FormatInt(v.Era(), 10) + "." + strconv.FormatInt(v.Number(), 10)
}
