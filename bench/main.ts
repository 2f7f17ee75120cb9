/** Command line of the benches: `npm run bench -- NAME [ARG...]` runs `bench/NAME.ts`. */

const NAME_PATTERN = /^[a-z][a-z_]*$/;

/** What each bench module exports. */
interface BenchModule {
  run(args: readonly string[]): Promise<void>;
}

async function main(): Promise<void> {
  const [name, ...args] = process.argv.slice(2);
  if (name === undefined || !NAME_PATTERN.test(name)) {
    process.stderr.write('Usage: npm run bench -- NAME [ARG...]\n');
    process.exitCode = 2;
    return;
  }
  const bench = (await import(`./${name}.js`)) as BenchModule;
  await bench.run(args);
}

await main();
