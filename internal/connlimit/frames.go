package connlimit

// The parts of a frame of drpc: a byte of flags, the numbers of stream and message, the length of
// the data, and the data. The numbers are of variable length.
type framePart int

const (
	partFlags framePart = iota
	partStream
	partMessage
	partLength
	partData
	// partInvalid is reached after a number that is too long. The owner of the connection finds it
	// too and closes the connection.
	partInvalid
)

const (
	// flagDone is set in the last frame of a message.
	flagDone = 1
	// maxNumberBits is above the bits of any number.
	maxNumberBits = 64
)

// frames follows the frames of drpc in received bytes, which may be split anywhere.
type frames struct {
	part   framePart
	isDone bool
	// value and shift are those of the number that is being read.
	value uint64
	shift uint
	// left is how many bytes of data are missing.
	left uint64
}

// consume takes the next received bytes. It returns how many of them, at the end, belong to a
// message that is not complete, and whether another was completed before.
func (f *frames) consume(p []byte) (rest int, completed bool) {
	for i := 0; i < len(p); {
		if f.part == partData {
			n := int(min(f.left, uint64(len(p)-i)))
			f.left -= uint64(n)
			i += n
		} else {
			f.header(p[i])
			i++
		}
		rest = len(p)
		if f.part == partData && f.left == 0 {
			f.part = partFlags
			if f.isDone {
				completed = true
				p, i = p[i:], 0
				rest = len(p)
			}
		}
	}
	return rest, completed
}

// header takes a byte of the part before the data.
func (f *frames) header(b byte) {
	switch f.part {
	case partInvalid:
		return
	case partFlags:
		f.isDone = b&flagDone != 0
		f.next(partStream)
		return
	}
	f.value |= uint64(b&0x7f) << f.shift
	if f.shift += 7; b < 0x80 {
		f.left = f.value
		f.next(f.part + 1)
	} else if f.shift >= maxNumberBits {
		f.part = partInvalid
	}
}

// next begins a part.
func (f *frames) next(part framePart) { f.part, f.value, f.shift = part, 0, 0 }
