import js from '@eslint/js';
import ts from 'typescript-eslint';

export default ts.config(
  { ignores: ['target/**', 'node_modules/**', 'journal/**'] },
  js.configs.recommended,
  ...ts.configs.strict,
  {
    rules: {
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-extraneous-class': 'off',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      eqeqeq: 'error',
    },
  },
);
