/** Builds and runs the benchmark program with the arguments given. */
await import('./build.js')
await import('../packages/bench/dist/bench.js')
