export default {
  files: [
    'packages/*/dist/test/**/*_test.js',
    'platform/dist/test/**/*_test.js',
  ],
  workerThreads: false,
  timeout: '120s',
  concurrency: 6,
};
