export * from './indexed/IndexedPlacer.ts'
export * from './naive/NaivePlacer.ts'
