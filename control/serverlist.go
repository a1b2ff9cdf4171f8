package control

import "slices"

// serverList is a list of servers by ascending ID. It consists of blocks, so that inserting or removing a server moves
// only a few others. The zero value is an empty list.
type serverList struct {
	blocks []serverBlock // none is empty
	len    int           // number of servers
}

// serverBlock is a part of a serverList. The IDs are stored apart from the servers, so that a search doesn't access the
// servers.
type serverBlock struct {
	first   ServerID
	ids     []ServerID
	servers []*server // at most maxBlock
}

// maxBlock is the largest number of servers in a block. With a few thousand servers, a change moves about as many
// entries of a block as there are blocks.
const maxBlock = 64

// locate returns the block in which a server is or would be inserted, and its position there. In an empty list the
// block doesn't exist.
func (l *serverList) locate(id ServerID) (block, i int, found bool) {
	block, end := 0, len(l.blocks)
	for block < end { // the first block that begins above the ID
		if mid := (block + end) / 2; l.blocks[mid].first <= id {
			block = mid + 1
		} else {
			end = mid
		}
	}
	if block = max(0, block-1); block == len(l.blocks) {
		return 0, 0, false
	}
	i, found = slices.BinarySearch(l.blocks[block].ids, id)
	return block, i, found
}

// find returns the server with the given ID, nil if there is none.
func (l *serverList) find(id ServerID) *server {
	if block, i, found := l.locate(id); found {
		return l.blocks[block].servers[i]
	}
	return nil
}

// all calls yield for each server by ascending ID, until it returns false.
func (l *serverList) all(yield func(s *server) bool) {
	for _, b := range l.blocks {
		for _, s := range b.servers {
			if !yield(s) {
				return
			}
		}
	}
}

// contains reports whether at least one server satisfies the condition.
func (l *serverList) contains(condition func(s *server) bool) bool {
	for s := range l.all {
		if condition(s) {
			return true
		}
	}
	return false
}

// insert adds a server that isn't in the list.
func (l *serverList) insert(s *server) {
	block, i, found := l.locate(s.Server)
	if found {
		return
	}
	if len(l.blocks) == 0 {
		l.blocks = append(l.blocks, newServerBlock())
	}
	if len(l.blocks[block].ids) == maxBlock {
		const half = maxBlock / 2
		l.split(block, half)
		if i > half {
			block, i = block+1, i-half
		}
	}
	b := &l.blocks[block]
	b.ids, b.servers = slices.Insert(b.ids, i, s.Server), slices.Insert(b.servers, i, s)
	b.first = b.ids[0]
	l.len++
}

func newServerBlock() serverBlock {
	return serverBlock{ids: make([]ServerID, 0, maxBlock), servers: make([]*server, 0, maxBlock)}
}

// split moves the servers from position i on to a new block.
func (l *serverList) split(block, i int) {
	upper, b := newServerBlock(), &l.blocks[block]
	upper.ids, upper.servers = append(upper.ids, b.ids[i:]...), append(upper.servers, b.servers[i:]...)
	upper.first = upper.ids[0]
	clear(b.servers[i:])
	b.ids, b.servers = b.ids[:i], b.servers[:i]
	l.blocks = slices.Insert(l.blocks, block+1, upper)
}

// remove removes the server with the given ID, if there is one.
func (l *serverList) remove(id ServerID) {
	block, i, found := l.locate(id)
	if !found {
		return
	}
	b := &l.blocks[block]
	b.ids, b.servers = slices.Delete(b.ids, i, i+1), slices.Delete(b.servers, i, i+1)
	l.len--
	if len(b.ids) == 0 {
		l.blocks = slices.Delete(l.blocks, block, block+1)
	} else {
		b.first = b.ids[0]
		l.mergeWithNext(block)
		l.mergeWithNext(block - 1)
	}
}

// mergeWithNext merges a block with the next one if both exist and have few servers, so that no list of many small
// blocks remains after removals.
func (l *serverList) mergeWithNext(block int) {
	if block < 0 || block+1 >= len(l.blocks) {
		return
	}
	b, next := &l.blocks[block], &l.blocks[block+1]
	if len(b.ids)+len(next.ids) <= maxBlock/2 {
		b.ids, b.servers = append(b.ids, next.ids...), append(b.servers, next.servers...)
		l.blocks = slices.Delete(l.blocks, block+1, block+2)
	}
}
