/** Runs the build script and then the benchmark program, both with the arguments of this script. */
await import('./build.js')
await import('../packages/bench/dist/bench.js')
