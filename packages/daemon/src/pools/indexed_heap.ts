/**
 * A binary heap in which any item can be removed or reordered.
 *
 * @module
 */

/** Returns a negative number when the first item comes before the second. */
export type Comparison<Item> = (first: Item, second: Item) => number;

/**
 * A binary min-heap that keeps the position of each item, so that every change
 * costs O(log n). An item is in the heap at most once.
 *
 * @example
 * ```ts
 * const heap = new IndexedHeap<Job>((a, b) => a.endsAtMs - b.endsAtMs);
 * heap.add(job);
 * heap.first()?.endsAtMs;
 * ```
 */
export class IndexedHeap<Item> {
  readonly #compare: Comparison<Item>;
  readonly #items: Item[] = [];
  readonly #positions = new Map<Item, number>();

  constructor(compare: Comparison<Item>) {
    this.#compare = compare;
  }

  get size(): number {
    return this.#items.length;
  }

  has(item: Item): boolean {
    return this.#positions.has(item);
  }

  first(): Item | undefined {
    return this.#items[0];
  }

  /** Adds the item, or restores its order when it is in the heap already. */
  add(item: Item): void {
    let position = this.#positions.get(item);
    if (position === undefined) {
      position = this.#items.length;
      this.#items.push(item);
      this.#positions.set(item, position);
    }
    this.#siftUp(position);
    this.#siftDown(this.#positions.get(item) ?? position);
  }

  takeFirst(): Item | undefined {
    const first = this.#items[0];
    if (first !== undefined) this.remove(first);
    return first;
  }

  /** Returns whether the item was in the heap. */
  remove(item: Item): boolean {
    const position = this.#positions.get(item);
    if (position === undefined) return false;
    this.#positions.delete(item);
    const last = this.#items.pop();
    if (last === undefined || last === item) return true;
    this.#place(last, position);
    this.#siftUp(position);
    this.#siftDown(this.#positions.get(last) ?? position);
    return true;
  }

  #place(item: Item, position: number): void {
    this.#items[position] = item;
    this.#positions.set(item, position);
  }

  #siftUp(start: number): void {
    const item = this.#items[start];
    if (item === undefined) return;
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      const above = this.#items[parent];
      if (above === undefined || this.#compare(item, above) >= 0) break;
      this.#place(above, position);
      position = parent;
    }
    this.#place(item, position);
  }

  #siftDown(start: number): void {
    const item = this.#items[start];
    if (item === undefined) return;
    let position = start;
    for (;;) {
      const child = this.#smallerChild(position);
      const below = this.#items[child];
      if (below === undefined || this.#compare(below, item) >= 0) break;
      this.#place(below, position);
      position = child;
    }
    this.#place(item, position);
  }

  #smallerChild(position: number): number {
    const left = 2 * position + 1;
    const leftItem = this.#items[left];
    const rightItem = this.#items[left + 1];
    if (leftItem === undefined || rightItem === undefined) return left;
    return this.#compare(rightItem, leftItem) < 0 ? left + 1 : left;
  }
}
