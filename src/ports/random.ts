/** A source of random numbers; seeded in tests. */
export interface Random {
  /** A float in [0, 1). */
  nextFloat(): number;
  /** An integer in [0, bound). */
  nextInt(bound: number): number;
  /** A new identifier of 32 hexadecimal digits. */
  nextId(): string;
}
